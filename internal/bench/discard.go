package bench

import (
	"io"
	"log"
)

// discard returns a logger for the stand-ins' servers, whose connections are
// broken off on purpose.
func discard() *log.Logger { return log.New(io.Discard, "", 0) }
