// Package stand3 plays the script cases of the third review: it starts the system's own
// processes on loopback addresses beside stand-ins of the store, the replicas and the callers.
// Its files are test files, as these may use the platform's names. review/build-3.sh builds it.
package stand3

import (
	"fmt"
	"os"
	"testing"
)

// verdict is the result of a case.
type verdict struct {
	broken  bool
	summary string
}

// episodes is how often a case is played at most, each time with new processes, until the rule
// is broken. Whether it is depends on moments that the machine's load shifts.
var episodes = map[string]int{"maps": 3, "relay": 1, "hidden": 1}

// TestMain plays the case that the first argument names and writes its record to the file that
// the second one names. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// couldn't run.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecord(os.Args[2])
	cases := map[string]func(*site, bool) verdict{
		"maps":   playMaps,
		"relay":  playRelay,
		"hidden": playHidden,
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	var v verdict
	for episode := 1; episode <= episodes[os.Args[1]] && !v.broken; episode++ {
		s := newSite(rec)
		v = play(s, trouble)
		rec.addf("verdict of episode %d: broken %v: %s", episode, v.broken, v.summary)
		s.close()
		v.summary = fmt.Sprintf("episode %d: %s", episode, v.summary)
	}
	fmt.Println(v.summary)
	if v.broken {
		os.Exit(1)
	}
	os.Exit(0)
}
