package webio

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/lentilstand/lentilstand/internal/memory"
)

// Estimated costs in memory.
const (
	// connBytes is what an open connection costs: its read buffer, stack, parser, and a request
	// with a head of up to smallHeadBytes. An idle one takes 21 KB.
	connBytes = 32 << 10
	// smallHeadBytes is the cost of a head that is part of connBytes, so that an ordinary request
	// doesn't change the account.
	smallHeadBytes = 4 << 10
	// lineBytes is what a line of a head costs beyond its bytes: an entry of a map, two strings
	// and a slice, about 90 bytes, and rounding.
	lineBytes = 128
	// handledCopies is how many more copies of a head are made while its request is handled.
	handledCopies = 2
	// maxHeadCost limits the cost of the lines of a head. No head within MaxHeaderBytes reaches it
	// whose lines have 10 bytes on average; one of 2,200 short lines costs 300 KB.
	maxHeadCost = 512 << 10
	// streamBytes is what a response costs that is sent as a stream.
	streamBytes = 40 << 10
)

// rejection is the error response to a request that isn't passed to the handler.
type rejection struct {
	status  int
	code    string
	message string
	reason  memory.Reason
	// retryAfter is when the client may retry, zero if a retry doesn't help.
	retryAfter time.Duration
}

// processor passes the bytes of a connection to the parser, within the limits of requests and of
// the account. It reads bodies itself, since the parser would keep several copies of them. It
// stands between the parser and nbhttp's own processor.
type processor struct {
	nbhttp.Processor
	conn   *clientConn
	holder *memory.Holder
	parser *nbhttp.Parser
	// started is when the first byte of the current request arrived, zero between
	// requests.
	started time.Time
	// headerBytes is the size of the head so far, headCost the estimated memory for its lines,
	// and charged the part of it that the account has.
	headerBytes       int
	headCost, charged int64
	// length is the length of the body, which is unknown if it is negative.
	length          int
	inBody, chunked bool
	bodyRead        bool
	// receiving is the body in progress, and body the whole one.
	receiving       body
	body            []byte
	expectsContinue bool
	// rejected is the response if the current request isn't accepted.
	rejected *rejection
}

func newProcessor(conn *clientConn, engine *nbhttp.Engine) *processor {
	p := &processor{Processor: nbhttp.NewServerProcessor(), conn: conn, holder: conn.holder}
	p.parser = nbhttp.NewParser(conn, engine, p, false, nil)
	return p
}

// release ends the parsing and returns the memory of the request in progress.
func (p *processor) release() {
	p.parser.CloseAndClean(nil)
	p.receiving.release()
	p.body = nil
	p.holder.Release()
}

// errConnEnded means that a connection has ended within a request.
var errConnEnded = errors.New("the connection has ended")

// process parses bytes that have arrived, and handles the requests that are complete with them.
// It reads the rest of a body from the connection. It returns the rejection of a request that
// isn't acceptable, or errConnEnded.
func (p *processor) process(data []byte) (*rejection, error) {
	for len(data) > 0 && (p.inRequest() || !p.conn.isClosed()) {
		if !p.inRequest() {
			p.started = time.Now()
			p.holder.SetState(memory.Receiving)
		}
		line, rest := cutLine(data)
		if rejection := p.parseLine(line); rejection != nil {
			return rejection, nil
		}
		data = rest
		if !p.inBody || p.bodyRead || line[len(line)-1] != '\n' {
			continue
		}
		var rejection *rejection
		var err error
		if data, rejection, err = p.readBody(data); rejection != nil || err != nil {
			return rejection, err
		}
	}
	return nil, nil
}

// cutLine returns the first line of data with its end, or all of data if it has none.
func cutLine(data []byte) (line, rest []byte) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return data[:end+1], data[end+1:]
	}
	return data, nil
}

// parseLine parses a line of a head or a trailer, or a part of one.
func (p *processor) parseLine(line []byte) *rejection {
	if p.headerBytes += len(line); p.headerBytes > MaxHeaderBytes {
		return headerTooLarge(fmt.Sprintf("the header is larger than %d bytes", MaxHeaderBytes))
	}
	p.headCost += int64(len(line))
	if line[len(line)-1] == '\n' {
		p.headCost += lineBytes
	}
	if p.headCost > maxHeadCost {
		return headerTooLarge("the header has too many lines")
	}
	if !p.chargeHead(1) {
		return noMemory(errNoMemory.Error())
	}
	return p.parse(line)
}

// chargeHead takes the cost of the head, times copies, from the account, and reports whether
// there was room. It does so in steps of smallHeadBytes.
func (p *processor) chargeHead(copies int64) bool {
	missing := p.headCost*copies - p.charged - smallHeadBytes
	if missing <= 0 {
		return true
	}
	missing += smallHeadBytes
	if !p.holder.Grow(missing) {
		return false
	}
	p.charged += missing
	return true
}

// parse passes data to the parser and returns the rejection of the request, nil if it is
// acceptable so far.
func (p *processor) parse(data []byte) *rejection {
	err := p.parser.Parse(data)
	switch {
	case p.rejected != nil:
		return p.rejected
	case errors.Is(err, nbhttp.ErrTooLong):
		return bodyTooLarge()
	case err != nil:
		return malformed(err)
	}
	return nil
}

// readBody reads the body of a request whose head is complete. Data is what has arrived of it. It
// returns the bytes that follow the body, and lets the parser complete the request.
func (p *processor) readBody(data []byte) ([]byte, *rejection, error) {
	arrived := bytes.NewReader(data)
	source := &bodySource{processor: p, arrived: arrived}
	if !p.chunked {
		rejection, err := p.fillBody(io.LimitReader(source, int64(p.length)), source)
		if rejection != nil || err != nil {
			return nil, rejection, err
		}
		p.bodyRead = true
		return data[len(data)-arrived.Len():], p.parse(p.body), nil
	}
	buffered := bufio.NewReaderSize(source, bodyStartBytes)
	rejection, err := p.fillBody(httputil.NewChunkedReader(buffered), source)
	if rejection != nil || err != nil {
		return nil, rejection, err
	}
	p.bodyRead = true
	// The parser completes the request at the last chunk and the trailer, which follows.
	following := make([]byte, buffered.Buffered(), buffered.Buffered()+arrived.Len())
	if _, err := io.ReadFull(buffered, following); err != nil {
		return nil, nil, errConnEnded
	}
	following = append(following, data[len(data)-arrived.Len():]...)
	return following, p.parse([]byte("0\r\n")), nil
}

// bodySource reads a body: first what has arrived with the head, then from the connection.
type bodySource struct {
	processor *processor
	arrived   *bytes.Reader
	// err is the error of the connection.
	err error
}

func (s *bodySource) Read(buffer []byte) (int, error) {
	if s.arrived.Len() > 0 {
		return s.arrived.Read(buffer)
	}
	p := s.processor
	p.conn.setNextReadDeadline(p)
	n, err := p.conn.Read(buffer)
	p.holder.Received(n)
	s.err = err
	return n, err
}

// fillBody reads the body from reader, which reads from source, until its end. The buffer grows
// with what arrives, so that a client that announces a body without sending it holds nothing.
func (p *processor) fillBody(reader io.Reader, source *bodySource) (*rejection, error) {
	for {
		err := p.receiving.readFrom(reader, p.holder)
		size := p.receiving.size
		complete := !p.chunked && size == p.length
		switch {
		case errors.Is(err, errNoMemory):
			return noMemory(err.Error()), nil
		case size > MaxBodyBytes:
			return bodyTooLarge(), nil
		case !p.reserveBody(size):
			return noBodies(), nil
		case source.err != nil && !complete:
			return nil, errConnEnded
		case complete || errors.Is(err, io.EOF):
			if p.body, err = p.receiving.join(p.holder); err != nil {
				return noMemory(err.Error()), nil
			}
			return nil, nil
		case err != nil:
			return malformed(err), nil
		}
	}
}

// reserveBody reserves the room for a large body among those of all requests, and reports whether
// there was any.
func (p *processor) reserveBody(size int) bool {
	return size <= smallBodyBytes || p.holder.Reserve(int64(size))
}

// inRequest reports whether a part of a request has arrived.
func (p *processor) inRequest() bool { return !p.started.IsZero() }

func malformed(err error) *rejection {
	return &rejection{
		status:  http.StatusBadRequest,
		code:    "malformed_request",
		message: "the request can't be read: " + err.Error(),
		reason:  memory.ReasonMalformed,
	}
}

func headerTooLarge(message string) *rejection {
	return &rejection{
		status:  http.StatusRequestHeaderFieldsTooLarge,
		code:    "header_too_large",
		message: message,
		reason:  memory.ReasonHead,
	}
}

func bodyTooLarge() *rejection {
	return &rejection{
		status:  http.StatusRequestEntityTooLarge,
		code:    "body_too_large",
		message: fmt.Sprintf("the body is larger than %d bytes", MaxBodyBytes),
		reason:  memory.ReasonBody,
	}
}

// noBodies is the rejection of a body that would take more memory than all bodies may.
func noBodies() *rejection {
	rejection := noMemory("the bodies of other requests take all memory for them")
	rejection.code = "too_many_bodies"
	return rejection
}

// noMemory is the rejection of a request for which there is no memory. The account counts it.
func noMemory(message string) *rejection {
	return &rejection{
		status:     http.StatusServiceUnavailable,
		code:       "no_memory",
		message:    message,
		retryAfter: time.Second,
	}
}

// OnHeader records how the body is sent, and whether the client expects 100 Continue before.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	switch {
	case key == "Expect" && value == "100-continue":
		p.expectsContinue = true
	case key == "Transfer-Encoding":
		p.chunked = true
	}
	p.Processor.OnHeader(parser, key, value)
}

// OnContentLength is called at the end of the header.
func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	p.inBody, p.length = true, length
	switch {
	case length > MaxBodyBytes:
		p.rejected = bodyTooLarge()
	case !p.chargeHead(1 + handledCopies):
		p.rejected = noMemory(errNoMemory.Error())
	case length > 0 && !p.reserveBody(length):
		p.rejected = noBodies()
	case p.expectsContinue:
		_, _ = p.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	p.Processor.OnContentLength(parser, length)
}

// OnBody does nothing, since the body is already in p.body.
func (p *processor) OnBody(*nbhttp.Parser, []byte) error { return nil }

// OnComplete passes on a complete request unless it was rejected.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	if p.rejected != nil {
		return
	}
	if !p.holder.Begin() {
		p.rejected = noMemory(errNoMemory.Error())
		return
	}
	p.Processor.OnComplete(parser)
	p.holder.Release()
	p.holder.SetState(memory.Idle)
	p.started = time.Time{}
	p.headerBytes, p.headCost, p.charged = 0, 0, 0
	p.inBody, p.chunked, p.bodyRead, p.expectsContinue = false, false, false, false
	p.length, p.body, p.receiving = 0, nil, body{}
}
