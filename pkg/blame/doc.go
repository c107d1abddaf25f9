// Package blame finds the parts of prompts that crash endpoints.
//
// Requests share parts of their prompts, such as a system prompt or the turns of a
// conversation. If an endpoint crashes, every part of every request that it had
// accepted and not yet begun to answer is suspect. A part that an endpoint answers is
// sound as of then, and crashes before that don't count any more. A part without such
// an answer is blocked after its first crash, since it is the likeliest cause and few
// requests have it. A part that was answered before is blocked only after several
// crashes without an answer between them, as many requests depend on it.
//
// If a request at a crash had several parts without an answer, only one of them may be the
// cause. A request that has some of them and not all is a test: one such request at a time is let
// through, and either it is answered, which clears its parts, or the endpoint crashes, which
// leaves fewer candidates. A part that was at more crashes than the other candidates of one
// crash is the culprit of it, and the others aren't blocked by that crash.
//
// Entries exchange reports on suspect parts, so that each of them decides by the crashes
// and the answers that all have seen. A blocked part is probed: after a while, which
// doubles with each further crash, one entry lets one request with it through, and the
// next entry if that gets none.
package blame
