// Package parts encodes reports on suspect parts of prompts for other entries, and logs
// which parts become blocked; see package blame.
package parts

import (
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/wirepb"
	"github.com/lentilstand/lentilstand/pkg/blame"
)

// Of returns the parts with the given ids among the prompts of a service.
func Of(service string, ids []string) []blame.Part {
	parts := make([]blame.Part, 0, len(ids))
	for _, id := range ids {
		parts = append(parts, blame.PartOf(service, id))
	}
	return parts
}

// Format returns the hexadecimal hashes of parts, separated by commas.
func Format(parts ...blame.Part) string {
	formatted := make([]string, 0, len(parts))
	for _, part := range parts {
		formatted = append(formatted, strconv.FormatUint(uint64(part), 16))
	}
	return strings.Join(formatted, ",")
}

// LogChanges logs the parts that have become blocked or are no longer blocked since the
// last call.
func LogChanges(tracker *blame.Tracker, logger *zap.Logger) {
	for _, change := range tracker.DrainChanges() {
		changed := event.PartCleared
		if change.Blocked() {
			changed = event.PartBlocked
		}
		changed.Log(logger, zap.String("part", Format(change.Part())), zap.Int("crashes", change.Crashes()))
	}
}

// Encode encodes reports. Ages above an hour are sent as an hour.
func Encode(reports []blame.Report) []*wirepb.SuspectPart {
	var encoded []*wirepb.SuspectPart
	for _, report := range reports {
		wire := &wirepb.SuspectPart{Part: uint64(report.Part()), Blocked: report.Blocked()}
		for _, crash := range report.Crashes() {
			encodedCrash := &wirepb.Crash{Incarnation: crash.Incarnation(), AgeMs: toMilliseconds(crash.Age())}
			for _, companion := range crash.Companions() {
				encodedCrash.Companions = append(encodedCrash.Companions, uint64(companion))
			}
			wire.Crashes = append(wire.Crashes, encodedCrash)
		}
		if age, proven := report.Answer(); proven {
			ms := toMilliseconds(age)
			wire.AnsweredAgeMs = &ms
		}
		if age, probed := report.Probe(); probed {
			ms := toMilliseconds(age)
			wire.ProbedAgeMs = &ms
		}
		encoded = append(encoded, wire)
	}
	return encoded
}

// Decode decodes reports.
func Decode(encoded []*wirepb.SuspectPart) []blame.Report {
	reports := make([]blame.Report, 0, len(encoded))
	for _, wire := range encoded {
		var crashes []blame.Crash
		for _, crash := range wire.GetCrashes() {
			var companions []blame.Part
			for _, companion := range crash.GetCompanions() {
				companions = append(companions, blame.Part(companion))
			}
			crashes = append(crashes, blame.NewCrash(crash.GetIncarnation(), fromMilliseconds(crash.GetAgeMs()), companions...))
		}
		report := blame.NewReport(blame.Part(wire.GetPart()), crashes...)
		if wire.AnsweredAgeMs != nil {
			report = report.WithAnswer(fromMilliseconds(wire.GetAnsweredAgeMs()))
		}
		if wire.ProbedAgeMs != nil {
			report = report.WithProbe(fromMilliseconds(wire.GetProbedAgeMs()))
		}
		if wire.GetBlocked() {
			report = report.WithBlock()
		}
		reports = append(reports, report)
	}
	return reports
}

func toMilliseconds(age time.Duration) uint32 {
	return uint32(max(0, min(age, time.Hour)).Milliseconds())
}

func fromMilliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
