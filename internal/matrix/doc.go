// Package matrix holds the fault matrix: every fault of the brief at every step
// of a request's and a patch's path, each checked against what must always hold.
//
// Its tests run the real roles in one process and cause each fault just when a
// step is reached. A cell that isn't covered is counted and named.
package matrix
