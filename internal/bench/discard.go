package bench

import (
	"io"
	"log"
)

// discardLogger returns a logger that discards its output, for the servers of the
// stand-ins: their errors are expected, since tests abort connections on purpose.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
