package jsonc_test

import (
	"fmt"

	"github.com/lentilstand/lentilstand/pkg/diag"
	"github.com/lentilstand/lentilstand/pkg/jsonc"
)

func ExampleParse() {
	var findings diag.List
	root := jsonc.Parse("boat.jsonc", []byte(`{
  // An eight with its cox.
  "name": "Traunstein",
  "seats": 90
}`), &findings)
	fmt.Println(root.String("name"))
	root.Int("seats", 1, 9)
	root.RejectUnknown()
	fmt.Println(findings.Err())
	// Output:
	// Traunstein
	// boat.jsonc:4:12: field "seats" is 90 and must be between 1 and 9
}
