package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lentilstand/lentilstand/internal/procs"
)

// TestMain runs the tests. When a script executes "lentilstand", it runs the
// program in place of the tests.
func TestMain(m *testing.M) {
	testscript.Main(cleanupRunner{m}, map[string]func(){
		"lentilstand": func() { os.Exit(runMain()) },
	})
}

// cleanupRunner runs the tests and then deletes the program that they built.
type cleanupRunner struct {
	m *testing.M
}

func (c cleanupRunner) Run() int {
	defer procs.RemoveBinary()
	return c.m.Run()
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("KV", procs.FreeAddress(t))
			env.Setenv("ENTRY", procs.FreeAddress(t))
			env.Setenv("PEER", procs.FreeAddress(t))
			env.Setenv("ADMIN", procs.FreeAddress(t))
			return nil
		},
	})
}
