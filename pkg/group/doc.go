// Package group switches the ranks of a model group from one expert map to
// another so that no pass ever begins while two ranks have different maps.
//
// A rank knows five orders. Prepare copies the experts of a map, under a version
// that must be higher than all before. Arm makes the rank switch to the prepared
// map as a pass begins, and is refused once that pass has begun. Disarm takes it
// back. Hold keeps the whole group from beginning a pass until Release. Any order
// may get no answer and be carried out seconds later, after newer ones; ranks
// neither compare maps nor know who leads.
//
// The leader goes through phases:
//
//	preparing   every rank copies the map
//	holding     one rank holds the pass of the switch
//	arming      every rank arms the map for that pass
//	releasing   the hold ends, once every rank is seen armed
//	settling    every rank is seen using the map
//
// Nothing is armed before the hold is seen, and the hold ends only when all ranks
// are armed or none can be. So orders that are late can only do what the switch
// wants anyway, or are refused: the pass has begun, or the version is no longer
// the prepared one. A switch that can't be finished is fenced: every rank is
// disarmed and prepares a newer version of the map in use, after which an Arm of
// the old version is refused, and only then does the hold end.
//
// A new leader that finds a hold or armed ranks finishes that switch if all ranks
// can still be armed, and fences it otherwise. Leadership needs no lease: leaders
// that overlap cost time, not safety.
package group
