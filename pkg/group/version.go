package group

// A version ends in a tag with the highest pass that a leader may have ordered a rank to
// release, if that hasn't begun. Ranks keep their versions as long as the group's epoch lasts, so
// that a leader without a memory of its own, such as that of a restarted process, learns the pass
// from their reports. The tag has the remainder of the pass, and the low bits of the epoch. A tag
// without a pass is zero.
const (
	tagPassBits  = 10
	tagEpochBits = 2
	tagBits      = tagPassBits + tagEpochBits
	// tagPasses is the number of passes that tags distinguish.
	tagPasses = 1<<tagPassBits - 1
)

// tagRange is how far the pass of a tag may be ahead of the newest pass that is reported,
// which may be an older one than at the time of the tag. A pass that seems to be further ahead
// has begun long ago.
const tagRange = 2 * maxPassesAhead

// tagVersion returns a version with a number that another version doesn't have, and the tag
// of a pass, zero for none.
func tagVersion(number, epoch, pass uint64) uint64 {
	version := number << tagBits
	if pass != 0 {
		version |= epoch%(1<<tagEpochBits)<<tagPassBits | (pass%tagPasses + 1)
	}
	return version
}

// versionNumber returns the number of a version without its tag.
func versionNumber(version uint64) uint64 { return version >> tagBits }

// taggedPass returns the pass of a version's tag if it hasn't begun. It returns zero otherwise,
// and for a version of another epoch.
func taggedPass(version, epoch, newest uint64) uint64 {
	remainder := version % (1 << tagPassBits)
	if remainder == 0 || version>>tagPassBits%(1<<tagEpochBits) != epoch%(1<<tagEpochBits) {
		return 0
	}
	ahead := (remainder - 1 + tagPasses - newest%tagPasses) % tagPasses
	if ahead == 0 || ahead > tagRange {
		return 0
	}
	return newest + ahead
}

// usedPass returns the highest pass for which a release may still be carried out: the passes
// that are held or armed now, and those in the tags of the ranks' versions. It is zero if all
// of them have begun.
func usedPass(views []View) uint64 {
	used, newest := uint64(0), newestPass(views)
	for _, view := range views {
		if view.Held {
			used = max(used, view.HeldPass)
		}
		if view.Armed != 0 {
			used = max(used, view.ArmedPass)
		}
		for _, version := range []uint64{view.Map, view.Prepared, view.Armed, view.Ordered} {
			used = max(used, taggedPass(version, view.Epoch, newest))
		}
	}
	if used <= newest {
		return 0
	}
	return used
}
