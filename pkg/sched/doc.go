// Package sched schedules requests on the endpoints of a service. Each request is
// assigned to an endpoint, queued until one has a free slot, or rejected.
//
// Several entries share the endpoints and learn their load from reports that arrive
// with a delay. Demand can exceed the slots: in bursts, after an outage of all
// endpoints, and while endpoints are slow, cold, failing or draining. A request is
// queued only for as long as an answer is still useful to its caller, and is
// rejected at once if the expected wait is longer. A rejected caller is told when to
// retry, and is expected to retry once.
//
// The package does no network I/O, and its clock and random source can be replaced,
// so that a simulation can run the same code as an entry.
package sched
