// Package group switches the ranks of a model group from one expert map to
// another so that no forward pass begins while two ranks have different maps.
//
// A rank accepts five kinds of orders. Prepare copies the experts of a map, under
// a version that must be higher than all versions before. Arm makes the rank
// switch to the prepared map when the given pass begins; it is refused once that
// pass has begun. Disarm cancels an Arm. Hold keeps the whole group from beginning
// a pass until Release. Any order may go unanswered and still be carried out
// seconds later, after newer ones. Ranks neither compare maps nor know which agent
// leads.
//
// The leader goes through these phases:
//
//	preparing   every rank copies the map
//	holding     one rank holds the pass of the switch
//	arming      every rank arms the map for that pass: the holding rank, the
//	            leader's own, and then all others
//	releasing   the hold is released once every rank is reported armed
//	settling    every rank is reported to use the map
//
// Nothing is armed before the hold is reported, and the hold is released only when
// all ranks are armed or none can be. A delayed order therefore either does what
// the switch requires anyway or is refused, because the pass has begun or the
// version is no longer the prepared one. A delayed Release has only its pass to tell
// which hold it ends, and an idle group begins no passes: two switches therefore never
// have the same pass of an epoch. Before a Release is given, all ranks are armed for its
// pass or have prepared a version whose tag has it, so that each later leader learns the
// pass from the ranks. A switch that can't be completed is
// fenced: every rank is disarmed and prepares a newer version of the map in use,
// after which an Arm of the old version is refused. Only then is the hold released.
//
// A new leader that finds a hold or armed ranks completes that switch if all ranks
// can still be armed, and fences it otherwise. A switch goes on without one rank that
// no longer reports, if the order of arming or its last report shows whether it is
// armed. A fence makes unarmed ranks prepare its version before it disarms any, so that
// no leader completes a switch that another one has begun to fence. Leadership needs no lease: several
// concurrent leaders cost time but can't make two maps run in one pass.
package group
