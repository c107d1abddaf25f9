// Package group makes all ranks of a model group use one expert map in each
// step.
//
// Ranks run in lock-step: a step ends only when every rank has taken part. Whoever
// leads the group holds a lease in the key-value service, and the lease's revision
// is the fencing number of all that it orders. The leader names the map in the
// release of each step, and a rank starts a step only by a release of the epoch
// that it has joined, and only if it holds that map. So a switch of maps needs no
// moment that all ranks agree on: it is in force from the first step whose release
// names it, and a rank that doesn't hold the map starts nothing.
//
// A new leader begins a new epoch, and releases nothing before every rank has
// joined it. From then on no rank starts a step by a release of an earlier epoch,
// however late it comes and whoever sends it. A rank that restarts has forgotten
// what it held, so it ends the epoch too.
//
// Leader and Rank are plain values without clocks, threads or connections.
package group
