// Package quorum decides when an entry may serve by the configuration that it
// knows, and when a staged configuration may come into force. It relies on no
// coordination service beyond the compare-and-swap of the key-value service.
//
// The key-value service holds two refs: the head, which names the version in
// force, and the pending ref, which names the staged version. A ref also names
// the entries that have a vote. The pending ref is active while its term is above
// the head's. Every update of a ref is a compare-and-swap.
//
// An entry holds a View: the two refs as it last learned them. It may take new
// work if it is a voter and
//
//   - a read of the service, by itself or by a peer, that was sent at most
//     MaxReadAge ago showed no newer ref; or
//   - a majority of the voters have acknowledged exactly the same view within
//     MaxAckAge. This rule keeps the entries serving while none of them can reach
//     the service.
//
// An entry that knows an active pending ref enforces both versions: it routes a
// request only where both allow it. Its routing therefore stays correct whether
// the pending ref is committed or aborted.
//
// A pending ref may be committed, which makes it the head, when every voter knows
// it, or when a majority knows it and the other voters can no longer be serving:
// MaxReadAge after the ref was written no entry relies on an older read, and
// MaxAckAge after a majority knew it no entry finds a majority for an older view.
// A Round extends both waits by a margin for clocks that run at different rates.
// While the set of voters changes, an entry serves on acknowledgements only if it
// has a majority of both the old and the new voters.
//
// An aborted pending ref isn't deleted. Instead the head is written again with a
// higher term, so that every later view is newer than every earlier one.
//
// A view never replaces one with a newer head or a newer newest term, whatever the service
// shows. If the service may only lag or go back by a fault of its own, the known refs are
// still the newest ones. If it has recovered from a copy and says so with a new era, it is the
// authority again, but still none that takes back a version that was accepted: the entries
// write the lost refs again. Until then the terms after the copy may be given out again, so
// that an acknowledgement of a newer ref is none of the staged one.
//
// Node is the state of an entry, and Round the commit of one pending ref. Both
// are plain values without clocks, goroutines or connections, so that the daemons
// and the model check run the same code.
package quorum
