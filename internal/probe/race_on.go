//go:build race

package probe

// raceDetector reports whether the program was built with the race detector. The
// detector reports a false race in nbhttp's default mode, because it can't see that
// the poller receives connections through the kernel. The baseline that uses this
// mode is therefore skipped in race builds; CI runs it without the detector.
const raceDetector = true
