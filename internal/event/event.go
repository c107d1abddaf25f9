// Package event defines the numbered events that lentilstand logs, and its
// loggers. The number of an event never changes its meaning, so operators can
// search and alert on it. docs/EVENTS.md lists all events.
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
	number      int
	name        string
	level       zapcore.Level
	description string
}

// catalogue contains all events by number.
var catalogue = make(map[int]Event)

// register adds an event to the catalogue. It panics if the number is in use.
func register(number int, name string, level zapcore.Level, description string) Event {
	if _, exists := catalogue[number]; exists {
		panic(fmt.Sprintf("event: number %d is defined twice", number))
	}
	event := Event{number: number, name: name, level: level, description: description}
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

// groups are the section titles of the catalogue by the thousands digit of the
// event numbers.
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
	page.WriteString("# Events\n\nEach line of the log is a JSON object. Its field `event` is the number of one of these\nevents and `msg` is the event's name. The numbers never change their meaning.\n")
	group := 0
	for _, event := range events {
		if event.number/1000 != group {
			group = event.number / 1000
			fmt.Fprintf(&page, "\n## %s\n\n| event | name | level | description |\n| --- | --- | --- | --- |\n", groups[group])
		}
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", event.number, event.name, event.level, event.description)
	}
	return page.String()
}

// NewLogger returns a logger that writes JSON lines at level and above to the
// standard error, each with the role and the name of the process.
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
		panic("event: invalid logger configuration: " + err.Error())
	}
	return logger
}

// Error returns a log field with the error's message, without the stack trace
// that an error may carry.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
