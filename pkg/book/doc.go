// Package book decides when the callers of refused requests are told to come back.
//
// A caller that is told a time at which there is room is answered then, but if all callers
// of an overload are told the same time they meet in another overload. Each entry therefore
// books its own share of the spare rate, and tells each caller a time that it has booked.
// Entries need no agreement for that. A booking only spreads callers over time: nothing is
// held for it, so that one whose caller doesn't come back costs nothing once its time has
// passed, and a caller who comes back early is treated like any other. All functions are pure.
package book
