package strict

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/rotisserie/eris"
)

var errTLS = eris.New("the client doesn't support TLS")

// Transport is an HTTP/1.1 round tripper that returns ErrMalformedHead for malformed heads
// and whose responses' bodies end with ErrTruncated instead of io.EOF if they may be
// incomplete. Create it with NewTransport.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that sends its requests by base, which must not be used
// by others. Requests to https addresses, to which a redirection may lead, fail.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(inner), nil
	}
	base.DialTLSContext = func(context.Context, string, string) (net.Conn, error) { return nil, errTLS }
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var e exchange
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), e.trace())))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close()
		e.closeConn()
		return nil, err
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		e.endWithConn()
	}
	return response, nil
}

// exchange is a request on its connection. If net/http sends the request again, it has
// several connections one after another.
type exchange struct {
	mu     sync.Mutex
	conn   *conn
	upload *Upload
}

// trace returns the hooks by which net/http reports what it does for the request.
func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:      e.gotConn,
		WroteRequest: e.wroteRequest,
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			return CheckHead(status, http.Header(header))
		},
	}
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn, e.upload = info.Conn.(*conn), NewUpload()
}

func (e *exchange) wroteRequest(info httptrace.WroteRequestInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.upload.Finish(info.Err)
}

// endWithConn makes the connection prove its end, which is that of the response. It must be
// called before the body is read.
func (e *exchange) endWithConn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn.upload.Store(e.upload)
}

// closeConn closes the connection, which net/http may have kept for the next request.
func (e *exchange) closeConn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.conn.Close()
}
