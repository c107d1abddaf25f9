package pass

import (
	"time"

	"github.com/lentilstand/lentilstand/pkg/table"
)

// maxPrefillPerStep is how many prompt tokens a rank reads in one step at most. Engines split
// longer prompts so that other streams go on, and their figures don't include this one.
const maxPrefillPerStep = 512

// Model computes the time of passes from the engine's figures. Create it with New.
type Model struct {
	engine    table.Engine
	gapTarget time.Duration
}

// New returns a model of an engine, whose streams are on time if no gap between two events
// exceeds gapTarget, zero for no target.
func New(engine *table.Engine, gapTarget time.Duration) *Model {
	return &Model{engine: *engine, gapTarget: gapTarget}
}

// GapTarget returns the longest gap between events of a stream that is on time, or zero.
func (m *Model) GapTarget() time.Duration { return m.gapTarget }

// Base returns the duration of a pass of a rank with a balanced expert map: it decodes a number
// of requests, which have contextTokens tokens together, and reads prefillTokens tokens of
// prompts.
func (m *Model) Base(decoding, contextTokens, prefillTokens int) time.Duration {
	steps := m.steps(float64(decoding))
	return m.fixed(steps) + m.tokens(steps, float64(decoding), float64(contextTokens), float64(prefillTokens))
}

// steps returns the number of steps of a pass, which is one if no request decodes.
func (m *Model) steps(decoding float64) float64 {
	if decoding <= 0 {
		return 1
	}
	return float64(max(1, m.engine.Stride))
}

// fixed returns the part of a pass that doesn't depend on the load.
func (m *Model) fixed(steps float64) time.Duration {
	return time.Duration(steps * float64(m.engine.Step))
}

// tokens returns the part of a pass that the work for tokens takes.
func (m *Model) tokens(steps, decoding, contextTokens, prefillTokens float64) time.Duration {
	perStep := decoding*float64(m.engine.PerSequence) + contextTokens/1000*float64(m.engine.ContextPerThousand)
	work := steps * perStep
	if m.engine.PrefillRate > 0 {
		work += min(prefillTokens, steps*maxPrefillPerStep) / m.engine.PrefillRate * float64(time.Second)
	}
	return time.Duration(work)
}

// eventsPerRequest returns the mean number of events of a response, which is also the number of
// passes for which it runs.
func (m *Model) eventsPerRequest() float64 {
	return max(1, float64(m.engine.MeanOutputTokens)/float64(max(1, m.engine.Stride)))
}

// PromptTokens returns the mean number of tokens of a prompt.
func (m *Model) PromptTokens() float64 { return float64(m.engine.MeanPromptTokens) }

// Load is the load of a group in one pass.
type Load struct {
	// Ranks is the number of ranks.
	Ranks int
	// Running is the number of requests that run on all ranks together, and MaxRunning that on
	// the most loaded rank.
	Running, MaxRunning float64
	// Unread is the number of tokens of prompts that were sent to the ranks and not read
	// yet, and MaxUnread that of the rank with the most.
	Unread, MaxUnread float64
}

// parts returns the fixed part of a pass of the group and the part for tokens. Experts do
// ExpertShare of the work for tokens, spread evenly over the ranks by a balanced map; the
// rest stays on the rank of the request. At least the prompts that steadily replace those of
// ended requests are read.
func (m *Model) parts(load Load) (fixed, tokens time.Duration) {
	ranks := float64(max(1, load.Ranks))
	mean := load.Running / ranks
	steps := m.steps(load.Running)
	steady := mean / m.eventsPerRequest() * m.PromptTokens()
	context := m.PromptTokens() + float64(m.engine.MeanOutputTokens)/2
	experts := m.tokens(steps, mean, mean*context, max(steady, load.Unread/ranks))
	own := m.tokens(steps, load.MaxRunning, load.MaxRunning*context, max(steady, load.MaxUnread))
	share := min(1, max(0, m.engine.ExpertShare))
	return m.fixed(steps), time.Duration(share*float64(experts) + (1-share)*float64(own))
}
