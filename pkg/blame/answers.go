package blame

import "time"

// maxGeneration is the number of parts in a generation of answers. A tracker remembers
// between one and two generations.
const maxGeneration = 4096

// answers holds when parts were last answered. The zero value is empty.
type answers struct {
	current, previous map[Part]time.Time
}

// add records an answer. It forgets the oldest ones if there are many parts.
func (a *answers) add(part Part, at time.Time) {
	if last, known := a.last(part); known && !at.After(last) {
		return
	}
	if len(a.current) >= maxGeneration {
		a.previous, a.current = a.current, nil
	}
	if a.current == nil {
		a.current = make(map[Part]time.Time)
	}
	a.current[part] = at
}

// last returns when a part was last answered, and whether it was.
func (a *answers) last(part Part) (time.Time, bool) {
	if at, known := a.current[part]; known {
		return at, true
	}
	at, known := a.previous[part]
	return at, known
}
