// Package siege tests that entries and agents withstand clients, endpoints and stores that keep
// to no limits. Its tests start the daemons as processes on loopback, with the limits of a small
// host in their settings, and let a crowd loose on them. Each test checks that the process lives,
// that its peak resident memory and its open descriptors stay within its settings, and that an
// ordinary request is answered afterwards. The tests don't run in parallel.
package siege
