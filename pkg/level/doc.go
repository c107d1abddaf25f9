// Package level lets the entries of a fleet agree on which kinds of request are admitted.
//
// Each entry derives a level from what it knows: how many slots of the group are free, and how
// many the more urgent requests need that it gets. It sends the level to other entries, and
// uses a robust mean of its own and those that it has received within the last second. An
// entry that sends false values therefore changes little, one that isn't heard any more
// counts for a second, and one that hears nobody uses its own.
//
// All functions are pure: the time is an argument.
package level
