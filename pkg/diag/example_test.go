package diag_test

import (
	"fmt"

	"github.com/lentilstand/lentilstand/pkg/diag"
)

func ExampleList() {
	var findings diag.List
	findings.Addf(diag.NewPosition("a.jsonc", 7, 3), "unknown field %q", "colour")
	findings.Addf(diag.NewPosition("a.jsonc", 2, 1), "the name is missing")
	fmt.Println(findings.Err())
	// Output:
	// a.jsonc:2:1: the name is missing
	// a.jsonc:7:3: unknown field "colour"
}
