// Package quorum decides when an entry may route by the configuration that it
// knows, and when a staged configuration may come into force, without a
// coordination service of its own.
//
// The key-value service holds two marks: the head, which is in force, and the
// pending one, which is staged. A mark names a version and the entries that have
// a vote. The pending mark is active while its term is above the head's. All
// changes are compare-and-swaps.
//
// An entry holds a View: the two marks as it knows them. It may take new work if
// it has a vote and
//
//   - it knows, by a read of the service that was sent at most Fresh ago, by
//     itself or by a peer, that no newer mark existed then; or
//   - a majority of the voters have told it within Evidence that they hold
//     exactly the same view. That is what keeps the fleet going while nobody
//     can reach the service.
//
// An entry that knows an active pending mark obeys both versions: it routes only
// where both allow it. So an entry that knows the pending mark is right whatever
// becomes of it.
//
// A pending mark may become the head when every voter knows it, or when a
// majority knows it and those who don't can no longer be serving: Fresh after
// the mark was written nobody relies on an older read, and Evidence after a
// majority knew it nobody finds a majority for an older view. While voters
// change, both the old and the new voters must have a majority.
//
// A pending mark that is given up is never forgotten by deleting it: the head is
// written again with a higher term, so that every later view is newer than every
// earlier one.
//
// A Node is the state of an entry and a Round that of an acceptance. Both are
// plain values without clocks, threads or connections: the daemons and the model
// check run the same code.
package quorum
