package main

import (
	"fmt"
	"os"
	"testing"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// troubled reports whether the case has its disruption.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

// TestMain plays the case that the arguments name, in place of tests. The stand-ins are a test
// binary since only platform/ knows the platform's names outside tests.
func TestMain(*testing.M) {
	cases := map[string]func(s *site) (int, error){
		"turned-away":          turnedAway,
		"turned-away-at-start": turnedAwayAtStart,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(couldNot)
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	code, err := cases[os.Args[1]](s)
	if err != nil {
		s.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = couldNot
	}
	s.logf("exit %d", code)
	s.close()
	os.Exit(code)
}
