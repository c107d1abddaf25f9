// Package audit keeps a record of each routing decision and replays the records
// against the history of configuration versions.
//
// A Writer collects the records of one run of an entry and writes them in
// compressed batches to the key-value service, since hosts keep nothing. The
// first batch is written before the entry serves, batches are numbered and each
// holds the hash of the one before, and the last one says so. So a batch that is
// missing, changed or out of order is found, and a run that ended without its
// last batch shows as a gap.
//
// Replay makes each decision again by the same pure function, from the recorded
// inputs and the version that was in force, and finds every request that went
// elsewhere than the rules said.
package audit
