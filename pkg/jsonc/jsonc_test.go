package jsonc_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/diag"
	"github.com/lentilstand/lentilstand/pkg/jsonc"
)

func TestFindings(t *testing.T) {
	testCases := []struct {
		name string
		text string
		want []string
	}{
		{"valid", `{"name": "x", "count": 3}`, nil},
		{"invalid syntax", `{`, []string{"f: "}},
		{"not an object", `[]`, []string{"f:1:1: must be an object"}},
		{"missing", `{"count": 3}`, []string{`f:1:1: field "name" is missing`}},
		{"unknown, with position", "{\n  // a comment\n  \"name\": \"x\", \"count\": 1,\n  \"other\": 2}", []string{`f:4:12: unknown field "other"`}},
		{"duplicate field", `{"name": "x", "name": "y", "count": 1}`, []string{`f:1:15: field "name" is given twice`}},
		{"wrong type", `{"name": 3, "count": "x"}`, []string{
			`f:1:10: field "name" must be a string`,
			`f:1:10: field "name" must not be empty`,
			`f:1:22: field "count" must be a number`,
		}},
		{"out of bounds", `{"name": "x", "count": 11}`, []string{`f:1:24: field "count" is 11 and must be between 1 and 10`}},
		{"not an integer", `{"name": "x", "count": 1.5}`, []string{`f:1:24: field "count" must be a whole number`}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			var findings diag.List
			if root := jsonc.Parse("f", []byte(tc.text), &findings); root != nil {
				root.String("name")
				root.Int("count", 1, 10)
				root.RejectUnknown()
			}
			var got []string
			for _, finding := range findings.Findings() {
				got = append(got, finding.String())
			}
			require.Len(t, got, len(tc.want), "%v", got)
			for i, want := range tc.want {
				require.Contains(t, got[i], want)
			}
		})
	}
}

func TestExcessiveNestingIsReported(t *testing.T) {
	text := make([]byte, 1<<20)
	for i := range text {
		text[i] = '['
	}
	var findings diag.List
	require.Nil(t, jsonc.Parse("f", text, &findings))
	require.Equal(t, 1, findings.Len())
}
