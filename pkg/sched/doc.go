// Package sched decides what becomes of a request that wants one of a service's
// endpoints: it gets a seat at one, waits for one, or is refused.
//
// The load it answers: several entries share the endpoints and know their load by
// reports that lag. More work wants to begin than the slots bear, in bursts, after
// outages of all endpoints at once, and while some are slow, cold, fail or leave. A
// request waits only as long as it is still of use, and is refused at once if it
// would wait longer; callers who were refused come back once.
//
// Nothing here touches a network, and the clock and the random numbers can be
// replaced, so that an emulator plays the code that decides in an entry.
package sched
