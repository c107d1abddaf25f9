// Package demo shows the whole system at work in one process: every role and
// every stand-in over loopback, with real sockets.
package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/entry"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// The names of the demonstration, after the Traunsee deployment.
const (
	region    = "at-upper"
	gmunden   = "gmunden"
	ebensee   = "ebensee"
	altm      = "altmuenster"
	model     = "skiff-lm"
	bookings  = "bootshaus"
	team      = "ruderbund"
	firstNode = "entry-1"
	startTime = 15 * time.Second
	tokens    = 8
)

// summary is the last line of the demonstration.
type summary struct {
	Passed  int    `json:"passed"`
	Failed  int    `json:"failed"`
	Version uint64 `json:"version"`
	TookMS  int64  `json:"took_ms"`
}

// show is a running demonstration.
type show struct {
	out     io.Writer
	bench   *bench.Bench
	ledger  *stand.ExecutionLog
	summary summary
}

// Run runs the demonstration and writes what happens to out, line by line. It
// fails if any outcome is not the right one.
func Run(ctx context.Context, out io.Writer) error {
	began := time.Now()
	s := &show{out: out, ledger: &stand.ExecutionLog{}}
	starting, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	b, err := bench.Start(starting, spec(s.ledger))
	if err != nil {
		return err
	}
	defer b.Close()
	s.bench = b
	s.say("started 3 entries, 6 agents, 4 engines, 2 plain services, the key-value service and the host list")
	for _, act := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"addresses", s.addresses},
		{"streamed chat", s.chat},
		{"booking and its duplicate", s.booking},
		{"data centre out", s.takeOut},
		{"data centre back", s.takeBack},
		{"key-value service down", s.outage},
	} {
		if err := act.run(ctx); err != nil {
			s.summary.Failed++
			s.say("FAILED %s: %v", act.name, err)
			continue
		}
		s.summary.Passed++
	}
	s.summary.TookMS = time.Since(began).Milliseconds()
	line, err := json.Marshal(s.summary)
	if err != nil {
		return eris.Wrap(err, "can't write the summary")
	}
	fmt.Fprintln(out, string(line))
	if s.summary.Failed > 0 {
		return eris.Errorf("%d outcomes were wrong", s.summary.Failed)
	}
	return nil
}

func spec(ledger *stand.ExecutionLog) bench.Spec {
	engine := stand.DefaultEngineSpec()
	plain := stand.PlainSpec{Capacity: 4, ProcessingTime: 5 * time.Millisecond, ExecutionLog: ledger}
	return bench.Spec{
		Region:      region,
		DataCentres: []string{gmunden, ebensee, altm},
		Teams:       []string{team, "seehaus"},
		AddressTTL:  time.Second,
		Entries: []bench.EntrySpec{
			{Name: firstNode, DataCentre: gmunden},
			{Name: "entry-2", DataCentre: ebensee},
			{Name: "entry-3", DataCentre: altm},
		},
		Services: []bench.Service{
			{Name: model, Kind: config.KindModel, Repeatable: true, Replicas: []bench.Replica{
				{Name: "skiff-1", DataCentre: gmunden, Engine: engine},
				{Name: "skiff-2", DataCentre: gmunden, Engine: engine},
				{Name: "skiff-3", DataCentre: ebensee, Engine: engine},
				{Name: "skiff-4", DataCentre: altm, Engine: engine},
			}},
			{Name: bookings, Kind: config.KindPlain, PathPrefix: "/bootshaus", Replicas: []bench.Replica{
				{Name: "boot-1", DataCentre: gmunden, Plain: plain},
				{Name: "boot-2", DataCentre: ebensee, Plain: plain},
			}},
		},
	}
}

func (s *show) say(format string, args ...any) { fmt.Fprintf(s.out, format+"\n", args...) }

func (s *show) address(node string) string { return s.bench.Entry(node).Address() }

// told returns the addresses that a caller is told.
func (s *show) told(ctx context.Context) ([]string, error) {
	answer, err := s.bench.Call(ctx, s.address(firstNode), "", http.MethodGet, "/v1/entries", "", nil)
	if err != nil {
		return nil, err
	}
	var list struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
	}
	if err := json.Unmarshal(answer.Body, &list); err != nil {
		return nil, eris.Wrap(err, "can't read the addresses")
	}
	var addresses []string
	for _, e := range list.Entries {
		addresses = append(addresses, e.Address)
	}
	return addresses, nil
}

func (s *show) addresses(ctx context.Context) error {
	addresses, err := s.told(ctx)
	if err != nil {
		return err
	}
	s.say("a caller is told %d addresses", len(addresses))
	return expect(len(addresses) == 3, "3 addresses")
}

func chatBody(content string) string {
	return fmt.Sprintf(`{"model": %q, "stream": true, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`,
		model, tokens, content)
}

// chat sends a streamed request and follows its tokens as they come.
func (s *show) chat(ctx context.Context) error {
	const content = "Draft a line-up for the eight."
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+s.address("entry-2")+"/v1/chat/completions", strings.NewReader(chatBody(content)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+bench.APIKey(team))
	sent := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var text strings.Builder
	var first, last time.Duration
	clean := false
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			clean = true
			continue
		}
		text.WriteString(delta(data))
		last = time.Since(sent)
		if first == 0 {
			first = last
		}
	}
	s.say("a streamed chat gave its first token after %d ms and its last after %d ms: %s",
		first.Milliseconds(), last.Milliseconds(), strings.TrimSpace(text.String()))
	if err := expect(clean, "a clean end"); err != nil {
		return err
	}
	if err := expect(first < last, "the first token before the last"); err != nil {
		return err
	}
	return expect(text.String() == stand.CompletionText(content, tokens), "the whole answer")
}

// delta returns the text of one chunk of a streamed answer.
func delta(data string) string {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// booking books a boat and sends the same booking again at another entry.
func (s *show) booking(ctx context.Context) error {
	key := http.Header{"Idempotency-Key": {"dawn-eight"}}
	first, err := s.bench.Call(ctx, s.address(firstNode), team, http.MethodPost, "/bootshaus/bookings", `{"boat": 8}`, key)
	if err != nil {
		return err
	}
	second, err := s.bench.Call(ctx, s.address("entry-3"), team, http.MethodPost, "/bootshaus/bookings", `{"boat": 8}`, key)
	if err != nil {
		return err
	}
	s.say("a booking was answered %d, its duplicate at another entry %d (replayed: %s); it ran %d time(s)",
		first.Status, second.Status, second.Header.Get("Lentilstand-Replayed"), len(s.ledger.Executions()))
	if err := expect(first.Status == http.StatusCreated, "a booking"); err != nil {
		return err
	}
	if err := expect(string(first.Body) == string(second.Body), "the same answer to the duplicate"); err != nil {
		return err
	}
	return expect(len(s.ledger.Executions()) == 1, "one execution")
}

// takeOut takes a data centre out and looks where requests go.
func (s *show) takeOut(ctx context.Context) error {
	sent := time.Now()
	submission, err := s.bench.SubmitPatch(ctx, firstNode, 1, bench.DataCentreOutPatch(region, gmunden, true))
	if err != nil {
		return err
	}
	s.say("a patch that takes %s out was %s as version %d after %d ms",
		gmunden, submission.Result, submission.Version, time.Since(sent).Milliseconds())
	if err := expect(submission.Result == entry.ResultAccepted, "acceptance"); err != nil {
		return err
	}
	s.summary.Version = submission.Version
	before := s.completed("skiff-1") + s.completed("skiff-2")
	if err := s.chats(ctx, 6); err != nil {
		return err
	}
	after := s.completed("skiff-1") + s.completed("skiff-2")
	addresses, err := s.told(ctx)
	if err != nil {
		return err
	}
	s.say("6 chats were served, %d of them in %s; callers are told %d addresses", after-before, gmunden, len(addresses))
	if err := expect(after == before, "no new work there"); err != nil {
		return err
	}
	return expect(len(addresses) == 2, "2 addresses")
}

func (s *show) completed(endpoint string) int { return s.bench.Engine(endpoint).Counts().Completed }

// chats sends requests one after the other at all entries in turn.
func (s *show) chats(ctx context.Context, count int) error {
	nodes := []string{firstNode, "entry-2", "entry-3"}
	for i := range count {
		response, err := s.bench.Call(ctx, s.address(nodes[i%len(nodes)]), team, http.MethodPost,
			"/v1/chat/completions", chatBody(fmt.Sprintf("Explain seat swap %d.", i)), nil)
		if err != nil {
			return err
		}
		if response.Status != http.StatusOK || !strings.HasSuffix(string(response.Body), "data: [DONE]\n\n") {
			return eris.Errorf("chat %d was answered %d: %s", i, response.Status, response.Body)
		}
	}
	return nil
}

// takeBack brings the data centre back and shows that an old patch conflicts.
func (s *show) takeBack(ctx context.Context) error {
	conflict, err := s.bench.SubmitPatch(ctx, "entry-2", 1, bench.DataCentreOutPatch(region, ebensee, true))
	if err != nil {
		return err
	}
	s.say("a patch that is based on version 1 is a %s: %s", conflict.Result, conflict.Message)
	if err := expect(conflict.Result == entry.ResultConflict, "a conflict"); err != nil {
		return err
	}
	submission, err := s.bench.SubmitPatch(ctx, "entry-2", 2, bench.DataCentreOutPatch(region, gmunden, false))
	if err != nil {
		return err
	}
	s.say("a patch that brings %s back was %s as version %d", gmunden, submission.Result, submission.Version)
	if err := expect(submission.Result == entry.ResultAccepted, "acceptance"); err != nil {
		return err
	}
	s.summary.Version = submission.Version
	return s.chats(ctx, 6)
}

// outage takes the key-value service down: chats go on, and what can't be
// claimed is refused as not run.
func (s *show) outage(ctx context.Context) error {
	s.bench.KVServer().SetFaults(fakes.StoreFaults{Down: true})
	defer s.bench.KVServer().SetFaults(fakes.StoreFaults{})
	time.Sleep(3 * time.Second)
	if err := s.chats(ctx, 3); err != nil {
		return err
	}
	key := http.Header{"Idempotency-Key": {"second"}}
	response, err := s.bench.Call(ctx, s.address(firstNode), team, http.MethodPost, "/bootshaus/bookings", `{"boat": 2}`, key)
	if err != nil {
		return err
	}
	outcome := response.Header.Get("Lentilstand-Outcome")
	s.say("with the key-value service down for 3 s, 3 chats were served; a booking was refused with %d, outcome %s",
		response.Status, outcome)
	if err := expect(outcome == "not_run", "a truthful refusal"); err != nil {
		return err
	}
	return expect(len(s.ledger.Executions()) == 1, "no second execution")
}

func expect(ok bool, what string) error {
	if ok {
		return nil
	}
	return eris.Errorf("expected %s", what)
}
