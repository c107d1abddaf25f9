// Package matrix holds the fault matrix: each kind of fault at each step of a
// request, a patch and an expert map, with checks of the system's guarantees.
//
// Its tests run the real roles in one process and inject each fault at the moment
// that a step is reached. Cells without a test are counted and listed.
package matrix
