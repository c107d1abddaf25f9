// Package demand describes how often the experts of a model group are chosen. A leader of
// a group plans the expert map by it.
//
// A Counter has the decayed counts of choices. A Demand is what is stored of them: the
// share of each expert in its set, in one byte, so that a group that opens again doesn't
// have to count before it can plan. It is only a hint, and doesn't depend on the ranks.
//
// All functions are deterministic; the clock is passed in.
package demand
