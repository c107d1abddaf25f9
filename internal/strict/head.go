package strict

import (
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead means that the head of a response is malformed, so that nothing that it
// says can be trusted, nor the framing of the body.
var ErrMalformedHead = eris.New("the head of the response is malformed")

// CheckHead returns ErrMalformedHead if the head of a response is one that net/http accepts
// and no client may act on: the status is below 100, or 101 (Switching Protocols), for
// which no request asks, or the name of a field contains a space. Statuses above 599 are
// valid by syntax and count as server errors.
func CheckHead(status int, header http.Header) error {
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols {
		return eris.Wrapf(ErrMalformedHead, "status %03d", status)
	}
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrMalformedHead, "field name %q", name)
		}
	}
	return nil
}
