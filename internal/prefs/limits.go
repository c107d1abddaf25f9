package prefs

import (
	"strconv"

	"github.com/lentilstand/lentilstand/pkg/jsonc"
)

// maxLimit is the greatest value of a limit, one more than any host has.
const maxLimit = 1 << 30

// Limits are what a process may use of its host. Zero means that the settings don't say.
type Limits struct {
	memoryMB    int
	descriptors int
}

// readLimits reads the optional limits. Null counts as missing, since it is what a placeholder
// without a value expands to.
func readLimits(object *jsonc.Object) Limits {
	return Limits{
		memoryMB:    optionalLimit(object, "memory_mb"),
		descriptors: optionalLimit(object, "max_descriptors"),
	}
}

func optionalLimit(object *jsonc.Object, name string) int {
	text := string(object.Raw(name))
	if text == "" || text == "null" {
		return 0
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || number < 1 || number > maxLimit {
		object.Addf(name, "field %q is %q and must be a number from 1 to %d", name, text, maxLimit)
		return 0
	}
	return int(number)
}

// MemoryMB returns the memory of the host in MB, zero if it is unknown.
func (l Limits) MemoryMB() int { return l.memoryMB }

// Descriptors returns the limit on the open descriptors of the process, zero if it is unknown.
func (l Limits) Descriptors() int { return l.descriptors }
