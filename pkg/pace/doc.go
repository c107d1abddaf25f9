// Package pace decides how fast an entry sends requests to an endpoint that has started or
// recovered, and of which it isn't known how much it bears.
//
// Many entries use one endpoint and don't talk to each other about it. Each begins with its
// share of a rate that the endpoint is expected to bear, at a random moment, and doubles its
// own rate after some good answers to requests that were sent at the current one. It halves
// it after a refusal or an error, and keeps it while the endpoint reports that its slots are
// taken, or answers more slowly than before. As the endpoint's own answers are what entries
// share, an entry whose neighbours send nothing takes over their part of the endpoint, and
// an entry that joins needs no state of others.
//
// All functions are pure: times and random numbers are arguments.
package pace
