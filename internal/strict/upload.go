package strict

import (
	"sync"

	"github.com/rotisserie/eris"
)

// ErrTruncated means that a response without length ended although the peer had not
// received the whole request, so that it may be incomplete.
var ErrTruncated = eris.New("the connection broke before the request was delivered")

// Upload is the writing of a request, which goes on while the response is read. Create it
// with NewUpload.
type Upload struct {
	finish sync.Once
	done   chan struct{}
	// err is set before done is closed.
	err error
}

// NewUpload returns an upload that has not ended.
func NewUpload() *Upload { return &Upload{done: make(chan struct{})} }

// Finish ends the upload with the error of writing the request. Further calls do nothing.
func (u *Upload) Finish(err error) {
	u.finish.Do(func() {
		u.err = err
		close(u.done)
	})
}

// Done returns a channel that is closed when the upload ends.
func (u *Upload) Done() <-chan struct{} { return u.done }

// Wait waits until the upload ends and returns its error.
func (u *Upload) Wait() error {
	<-u.done
	return u.err
}
