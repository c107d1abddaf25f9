package level

import (
	"math"
	"slices"
	"time"
)

// Level is the urgency up to which requests are admitted, in the unit of priorities. Requests of
// a priority below it are admitted, in part if it is less than one above their priority.
type Level float64

// Open is the level that admits all requests.
const Open Level = 1000

// Share returns the share of the requests of a priority that are admitted.
func (l Level) Share(priority int) float64 {
	return min(1, max(0, float64(l)-float64(priority)))
}

// Thousandths returns the level in thousandths, as entries send it.
func (l Level) Thousandths() int32 { return int32(math.Round(1000 * float64(l))) }

// FromThousandths is the inverse of Thousandths. Values that are no level are limited.
func FromThousandths(thousandths int32) Level {
	return min(Open, max(0, Level(thousandths)/1000))
}

// Kind is what an entry knows of the requests of one priority.
type Kind struct {
	// Priority is the priority, with lower values for more urgent requests.
	Priority int
	// Reserve is how many slots of the group the more urgent requests of all entries need soon.
	Reserve float64
}

// Pressure returns the level at which an entry would admit requests if it decided alone. Free is
// the number of the group's slots that are free, and negative if more requests run than may.
// The kinds are ordered by urgency. Those of a kind are admitted in full if its reserve is
// free, and in part if less is. An entry keeps the whole reserve free for the more urgent
// requests that it gets itself, so that the level matters where others get them. The most
// urgent kind is always admitted, as nothing would be gained if its requests waited.
func Pressure(free float64, kinds []Kind) Level {
	for i, kind := range kinds {
		if i == 0 || kind.Reserve <= 0 {
			continue
		}
		if share := free / kind.Reserve; share < 1 {
			return Level(float64(kind.Priority) + max(0, share))
		}
	}
	return Open
}

// Parameters of an Agreement.
const (
	// lifetime is how long a received level is used.
	lifetime = time.Second
	// maxStep is the greatest change of the level within stepPeriod.
	maxStep Level = 0.5
	// stepPeriod is the interval at which entries send their levels.
	stepPeriod = 200 * time.Millisecond
	// trimmed is the share of the values that the mean leaves out at either end.
	trimmed = 0.25
	// maxEntries bounds the number of entries whose levels are kept. A fleet of 340 hosts
	// sends 40 of them to each entry within the lifetime.
	maxEntries = 256
)

// received is a level that another entry has sent.
type received struct {
	level Level
	at    time.Time
}

// Agreement is the level of one service, as one entry sees it. The zero value has heard of none
// and is open. It isn't safe for concurrent use.
type Agreement struct {
	others map[string]received
	own    Level
	level  Level
	at     time.Time
}

// Receive records the level that another entry has sent, as of an age.
func (a *Agreement) Receive(entry string, level Level, age time.Duration, now time.Time) {
	if a.others == nil {
		a.others = make(map[string]received)
	}
	if _, known := a.others[entry]; known || len(a.others) < maxEntries {
		a.others[entry] = received{level: level, at: now.Add(-max(0, age))}
	}
}

// Update sets the entry's own level and returns the level to use: the trimmed mean of its own and
// of those received within the lifetime, towards which it moves by at most maxStep in each
// stepPeriod. Levels over most, at which all of the entry's requests are admitted, count as that.
func (a *Agreement) Update(own, most Level, now time.Time) Level {
	values := []Level{min(own, most)}
	for entry, other := range a.others {
		if now.Sub(other.at) > lifetime {
			delete(a.others, entry)
			continue
		}
		values = append(values, min(other.level, most))
	}
	target := trimmedMean(values)
	if a.at.IsZero() || now.Sub(a.at) > lifetime {
		a.level = target
	}
	step := maxStep * Level(min(1, now.Sub(a.at).Seconds()/stepPeriod.Seconds()))
	from := min(a.level, most)
	a.level = min(from+step, max(from-step, target))
	a.own, a.at = own, now
	return a.level
}

// Own returns the entry's own level of the last Update.
func (a *Agreement) Own() Level { return a.own }

// Level returns the level of the last Update, Open before the first.
func (a *Agreement) Level() Level {
	if a.at.IsZero() {
		return Open
	}
	return a.level
}

// At returns the time of the last Update, zero before the first.
func (a *Agreement) At() time.Time { return a.at }

// Heard returns the number of other entries whose levels the last Update has used.
func (a *Agreement) Heard() int { return len(a.others) }

// trimmedMean returns the mean of the values without the trimmed share at either end. Of three or
// more values, it leaves out at least one at either end, so that one false value
// isn't counted.
func trimmedMean(values []Level) Level {
	slices.Sort(values)
	cut := int(trimmed * float64(len(values)))
	if len(values) >= 3 {
		cut = max(1, cut)
	}
	sum := Level(0)
	kept := values[cut : len(values)-cut]
	for _, value := range kept {
		sum += value
	}
	return sum / Level(len(kept))
}
