// Package admit provides admission control: it keeps endpoints from being
// overloaded and shares their capacity fairly between teams.
//
// A Limiter runs beside an endpoint, which all entries share. It issues credits:
// the number of granted credits plus the number of running requests never exceeds
// its capacity, whatever load the entries assume. An unused credit expires, so an
// entry that crashes doesn't hold capacity for long. A revoked credit can't be
// started any more, so a request whose credit was revoked has provably not run,
// even if it arrives later.
//
// A SlowStart computes the capacity for a Limiter. It raises the capacity with each
// request that completes in time after the cold phase, halves it after a failure
// and resets it when the endpoint is cold again.
//
// A Queue runs in an entry, one for each service. It limits how many requests
// wait and how many bytes they hold, and schedules teams in proportion to their
// weights by stride scheduling.
package admit
