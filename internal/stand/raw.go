package stand

import (
	"io"
	"net"
	"net/http"
)

// Raw is an endpoint that responds with bytes of its own, which needn't be valid HTTP, and
// may do so before it has read the request's body.
type Raw struct {
	// Respond is called with the connection of each request. Upload reads the request's
	// body. The connection is closed when Respond returns.
	Respond func(conn *net.TCPConn, request *http.Request, upload io.Reader)
}

// ServeHTTP implements http.Handler.
func (r Raw) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	r.Respond(conn.(*net.TCPConn), request, io.LimitReader(buffered, request.ContentLength))
}

// Reset makes the close of a connection discard what hasn't been sent or read, so that the
// peer gets a reset.
func Reset(conn *net.TCPConn) { _ = conn.SetLinger(0) }
