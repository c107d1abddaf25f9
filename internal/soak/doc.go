// Package soak holds a randomized test of the promises under failure.
//
// It runs entries and agents as separate processes against stand-ins of the
// platform, and injects faults from outside them: connections that a loopback
// proxy delays, resets, cuts one way or silences; processes that are paused,
// killed, stopped and started by signals; a store that is down, silent, slow,
// deaf or forgets; replicas that misbehave or are replaced; orders that are lost.
// A seed fixes the plan of faults. The promises are checked from what callers and
// replicas see.
//
// By hand: go test ./internal/soak -run TestSoak -soak.seeds 50 -soak.seconds 15.
package soak
