// Package simul plays the load of several entries on a small fake group or on the endpoints
// of a plain service, with a simulated clock. The entries decide with package sched as they
// do in a process, and callers' results are counted. Runs with the same seed are equal.
package simul
