// Package soak holds a randomized fault-injection test of the system's guarantees.
//
// It runs entries and agents as separate processes against fakes of the platform
// and injects faults from outside them: loopback proxies delay, reset, block in
// one direction or blackhole connections; signals pause, kill, stop and restart
// processes; the store is down, unresponsive, slow, hides changes, hangs watches,
// loses history, drops responses or recovers from a copy some seconds old; replicas
// misbehave, are replaced or leave; responses to orders are lost. A seed determines the schedule of faults. The guarantees are
// checked from what callers and replicas observe.
//
// To run it by hand: go test ./internal/soak -run TestSoak -soak.seeds 50 -soak.seconds 15.
package soak
