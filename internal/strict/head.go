package strict

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrMalformedHead means that the head of a response is malformed, so that nothing that it
// says can be trusted.
var ErrMalformedHead = eris.New("the head of the response is malformed")

// CheckHead returns ErrMalformedHead if the head of a response is one that net/http accepts
// and no client may act on: the status is below 100, or 101 (Switching Protocols), for
// which no request asks. Statuses above 599 are valid by syntax and count as server errors.
func CheckHead(status int) error {
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols {
		return eris.Wrapf(ErrMalformedHead, "status %03d", status)
	}
	return nil
}
