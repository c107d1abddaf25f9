// Package event holds the catalogue of the numbered events that lentilstand
// logs. Each event has a number that never changes its meaning, so that
// operators can search and alert by it. docs/EVENTS.md lists them all.
package event

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a kind of log entry.
type Event struct {
	number  int
	name    string
	level   zapcore.Level
	meaning string
}

// catalogue holds all events by number.
var catalogue = make(map[int]Event)

func define(number int, name string, level zapcore.Level, meaning string) Event {
	if _, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("event: number %d is defined twice", number))
	}
	event := Event{number: number, name: name, level: level, meaning: meaning}
	catalogue[number] = event
	return event
}

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Name returns the event's name in snake case.
func (e Event) Name() string { return e.name }

// Log writes the event to logger.
func (e Event) Log(logger *zap.Logger, fields ...zap.Field) {
	if checked := logger.Check(e.level, e.name); checked != nil {
		checked.Write(append([]zap.Field{zap.Int("event", e.number)}, fields...)...)
	}
}

// The groups of the catalogue, by the thousands of the numbers.
var groups = map[int]string{
	1: "Processes",
	2: "Callers and requests",
	3: "Connections between processes",
	4: "Endpoints",
	5: "Configuration and the key-value service",
	6: "Membership",
	7: "Rank groups",
	8: "Audit",
}

// Catalogue returns the catalogue as a Markdown page.
func Catalogue() string {
	events := make([]Event, 0, len(catalogue))
	for _, event := range catalogue {
		events = append(events, event)
	}
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.number, b.number) })
	var page strings.Builder
	page.WriteString("# Events\n\nEach line of the log is a JSON object. Its field `event` is the number of one of these\nevents, `msg` is the event's name. The numbers never change their meaning.\n")
	group := 0
	for _, event := range events {
		if event.number/1000 != group {
			group = event.number / 1000
			fmt.Fprintf(&page, "\n## %s\n\n| event | name | level | meaning |\n| --- | --- | --- | --- |\n", groups[group])
		}
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", event.number, event.name, event.level, event.meaning)
	}
	return page.String()
}

// NewLogger returns a logger that writes JSON lines at level and above to the
// standard error stream, each with the role and the name of the process.
func NewLogger(level zapcore.Level, role, name string) *zap.Logger {
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(level)
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncoderConfig.TimeKey = "time"
	config.DisableCaller = true
	config.DisableStacktrace = true
	config.Sampling = nil
	logger, err := config.Build(zap.Fields(zap.String("role", role), zap.String("name", name)))
	if err != nil {
		panic("event: the logger's fixed settings are refused: " + err.Error())
	}
	return logger
}

// Error returns an error as a field of an entry: its message alone, without the
// stack that the error may hold.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
