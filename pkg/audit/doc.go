// Package audit records each routing decision and replays the records against the
// history of configuration versions.
//
// A Writer collects the records of one run of an entry and writes them in
// compressed batches to the key-value service, because hosts have no durable
// storage. The first batch is written before the entry serves. Batches are
// numbered, each holds the hash of the previous one, and the last one is marked as
// such. A batch that is missing, changed or out of order is thus detected, and a
// run that ended without its last batch is reported as a gap.
//
// Replay recomputes each decision with the same pure function, from the recorded
// inputs and the version that was in force, and reports every request that was
// sent to an endpoint that the decision doesn't allow.
package audit
