//go:build !race

package probe

// raceDetector reports whether the program was built with the race detector.
const raceDetector = false
