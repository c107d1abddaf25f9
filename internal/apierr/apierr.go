// Package apierr holds the errors that callers see. They have the shape of the
// OpenAI interface, and a header that says whether the request may have run.
package apierr

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/retry"
)

// Header fields of answers.
const (
	// HeaderOutcome says whether the request has run: "run", "not_run" or
	// "unknown". Callers can rely on "not_run".
	HeaderOutcome = "Lentilstand-Outcome"
	// HeaderRequestID names the request.
	HeaderRequestID = "Lentilstand-Request"
	// HeaderVersion is the number of the configuration that the request was
	// routed by.
	HeaderVersion = "Lentilstand-Version"
)

// Error is an answer that refuses or fails a request.
type Error struct {
	status     int
	code       string
	message    string
	outcome    retry.Outcome
	retryAfter time.Duration
	handle     string
}

// Option sets an optional part of an Error.
type Option func(*Error)

// WithOutcome says whether the request may have run; without it, it has not.
func WithOutcome(outcome retry.Outcome) Option {
	return func(e *Error) { e.outcome = outcome }
}

// WithRetryAfter says when the caller should try again.
func WithRetryAfter(wait time.Duration) Option {
	return func(e *Error) { e.retryAfter = wait }
}

// WithOutcomePath names the path at which the outcome can be asked for.
func WithOutcomePath(path string) Option {
	return func(e *Error) { e.handle = path }
}

// New returns an error with an HTTP status, a code for programs and a message
// for people.
func New(status int, code, message string, options ...Option) *Error {
	e := &Error{status: status, code: code, message: message, outcome: retry.OutcomeNotRun}
	for _, option := range options {
		option(e)
	}
	return e
}

// Code returns the code for programs.
func (e *Error) Code() string { return e.code }

// Status returns the HTTP status.
func (e *Error) Status() int { return e.status }

// Outcome returns whether the request may have run.
func (e *Error) Outcome() retry.Outcome { return e.outcome }

// Error returns the code and the message.
func (e *Error) Error() string { return e.code + ": " + e.message }

// wireError is the JSON shape of an Error.
type wireError struct {
	Error wireBody `json:"error"`
}

type wireBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
	Outcome string  `json:"outcome"`
	Handle  string  `json:"handle,omitempty"`
}

// Body returns the error as JSON.
func (e *Error) Body() []byte {
	kind := "invalid_request_error"
	switch {
	case e.status == http.StatusTooManyRequests:
		kind = "rate_limit_error"
	case e.status >= http.StatusInternalServerError:
		kind = "server_error"
	}
	body, err := json.Marshal(wireError{Error: wireBody{
		Message: e.message,
		Type:    kind,
		Code:    e.code,
		Outcome: string(e.outcome),
		Handle:  e.handle,
	}})
	if err != nil {
		panic("apierr: an error can't be encoded: " + err.Error())
	}
	return body
}

// ServerSentEvent returns the error as a server-sent event, for a stream that has begun.
func (e *Error) ServerSentEvent() []byte { return fmt.Appendf(nil, "data: %s\n\n", e.Body()) }

// Header returns the header fields of the answer.
func (e *Error) Header() http.Header {
	header := http.Header{
		"Content-Type": {"application/json"},
		HeaderOutcome:  {string(e.outcome)},
	}
	if e.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	return header
}

// Reply answers an exchange with the error.
func (e *Error) Reply(exchange *webio.Exchange) {
	exchange.Reply(e.status, e.Header(), e.Body())
}
