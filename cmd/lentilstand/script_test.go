package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lentilstand/lentilstand/internal/procs"
)

// TestMain runs the tests, or the program itself where a script calls it.
func TestMain(m *testing.M) {
	testscript.Main(cleaned{m}, map[string]func(){
		"lentilstand": func() { os.Exit(mainCode()) },
	})
}

// cleaned removes what tests have built after they have run.
type cleaned struct {
	m *testing.M
}

func (c cleaned) Run() int {
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
