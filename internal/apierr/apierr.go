// Package apierr defines the error responses of the API. They have the JSON
// format of OpenAI's API errors, and a header that says whether the request may
// have run.
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

// Header fields of responses.
const (
	// HeaderOutcome says whether the request has run: "run", "not_run" or
	// "unknown". Callers can rely on "not_run".
	HeaderOutcome = "Lentilstand-Outcome"
	// HeaderRequestID is the id of the request.
	HeaderRequestID = "Lentilstand-Request"
	// HeaderVersion is the version of the configuration by which the request was
	// routed.
	HeaderVersion = "Lentilstand-Version"
)

// Error is an error response to a request.
type Error struct {
	status      int
	code        string
	message     string
	outcome     retry.Outcome
	retryAfter  time.Duration
	outcomePath string
}

// Option sets an optional part of an Error.
type Option func(*Error)

// WithOutcome sets whether the request may have run. The default is
// retry.OutcomeNotRun.
func WithOutcome(outcome retry.Outcome) Option {
	return func(e *Error) { e.outcome = outcome }
}

// WithRetryAfter sets after what time the caller should retry.
func WithRetryAfter(wait time.Duration) Option {
	return func(e *Error) { e.retryAfter = wait }
}

// WithOutcomePath sets the path at which the caller can query the request's
// outcome.
func WithOutcomePath(path string) Option {
	return func(e *Error) { e.outcomePath = path }
}

// New returns an error with an HTTP status, a machine-readable code and a
// human-readable message.
func New(status int, code, message string, options ...Option) *Error {
	e := &Error{status: status, code: code, message: message, outcome: retry.OutcomeNotRun}
	for _, option := range options {
		option(e)
	}
	return e
}

// Code returns the machine-readable code.
func (e *Error) Code() string { return e.code }

// Status returns the HTTP status.
func (e *Error) Status() int { return e.status }

// Outcome returns the outcome of the request, which says whether it may have run.
func (e *Error) Outcome() retry.Outcome { return e.outcome }

// Error returns the code and the message.
func (e *Error) Error() string { return e.code + ": " + e.message }

// wireError is the JSON encoding of an Error.
type wireError struct {
	Error wireErrorBody `json:"error"`
}

type wireErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
	Outcome string  `json:"outcome"`
	Handle  string  `json:"handle,omitempty"`
}

// Body returns the error as JSON.
func (e *Error) Body() []byte {
	errorType := "invalid_request_error"
	switch {
	case e.status == http.StatusTooManyRequests:
		errorType = "rate_limit_error"
	case e.status >= http.StatusInternalServerError:
		errorType = "server_error"
	}
	body, err := json.Marshal(wireError{Error: wireErrorBody{
		Message: e.message,
		Type:    errorType,
		Code:    e.code,
		Outcome: string(e.outcome),
		Handle:  e.outcomePath,
	}})
	if err != nil {
		panic("apierr: cannot encode an error: " + err.Error())
	}
	return body
}

// ServerSentEvent returns the error as a server-sent event, for a response whose
// stream has already started.
func (e *Error) ServerSentEvent() []byte { return fmt.Appendf(nil, "data: %s\n\n", e.Body()) }

// Header returns the header fields of the response.
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

// Reply sends the error as the response of an exchange.
func (e *Error) Reply(exchange *webio.Exchange) {
	exchange.Reply(e.status, e.Header(), e.Body())
}
