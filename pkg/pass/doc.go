// Package pass predicts how long the passes of a group of model replicas take.
//
// In each pass, every rank of the group generates one event for each of its streams and reads
// prompts. All ranks wait for the slowest one, and for the most loaded rank of each set of
// experts. A Model computes the time of a pass from the engine's figures, under a balanced
// expert map. An Estimator learns by which factor the measured passes exceed that, and so
// predicts the pass under another load. The fixed part of a pass isn't scaled, as skew
// lengthens only the work that tokens cause.
//
// All functions are pure: the time is an argument.
package pass
