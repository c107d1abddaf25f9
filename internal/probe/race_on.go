//go:build race

package probe

// raceDetector reports whether the program was built with the race detector. It
// doesn't see that the poller of nbhttp's default mode gets connections by way of
// the kernel, and takes the library's own hand-over for a race. So the baseline
// that runs this mode is left out then; CI runs it without the detector.
const raceDetector = true
