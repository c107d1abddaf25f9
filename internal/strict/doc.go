// Package strict makes net/http refuse responses that it would pass on although they are
// malformed or may be incomplete.
//
// net/http takes any number as the status of a response, and field names that contain
// spaces. A field such as "Content-Length : 5" then doesn't delimit the body, and a proxy
// would forward it as it is. [CheckHead] refuses heads that no client may act on.
//
// A body without length ends with its connection. The end of the stream alone doesn't
// prove that the peer has closed the connection in order: the kernel reports the reset of
// a connection once, to whichever call asks first. If this is the call that writes the
// request, a concurrent read reports the end of the stream. A peer that has closed the
// connection also resets it when the rest of the request arrives. The connections of
// [Transport] therefore report the end only once the peer has received the request.
//
// Either error tells nothing about whether the request has been executed.
package strict
