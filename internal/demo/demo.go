// Package demo runs the whole system in one process, every role and every stand-in
// connected by loopback sockets, and checks the outcome of each step.
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

// The names in the demonstration are modelled on the Traunsee deployment.
// startTimeout limits the start of the system, and chatTokens is the length of
// an answer.
const (
	region       = "at-upper"
	gmunden      = "gmunden"
	ebensee      = "ebensee"
	altmuenster  = "altmuenster"
	model        = "skiff-lm"
	bookings     = "bootshaus"
	team         = "ruderbund"
	firstEntry   = "entry-1"
	startTimeout = 15 * time.Second
	chatTokens   = 8
)

// summary is the JSON object on the last line of the output.
type summary struct {
	Passed  int    `json:"passed"`
	Failed  int    `json:"failed"`
	Version uint64 `json:"version"`
	TookMS  int64  `json:"took_ms"`
}

// demonstration holds the running system and the results so far.
type demonstration struct {
	out     io.Writer
	bench   *bench.Bench
	ledger  *stand.ExecutionLog
	summary summary
}

// Run runs the demonstration and writes one line per step to out, then a summary.
// It returns an error if any step has an unexpected outcome.
func Run(ctx context.Context, out io.Writer) error {
	start := time.Now()
	d := &demonstration{out: out, ledger: &stand.ExecutionLog{}}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	b, err := bench.Start(startCtx, spec(d.ledger))
	if err != nil {
		return err
	}
	defer b.Close()
	d.bench = b
	d.printf("started 3 entries, 6 agents, 4 engines, 2 plain services, the key-value service and the host list")
	for _, step := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"addresses", d.checkAddresses},
		{"streamed chat", d.streamChat},
		{"booking and its duplicate", d.bookTwice},
		{"data centre taken out of service", d.takeOutOfService},
		{"data centre returned to service", d.returnToService},
		{"key-value service down", d.storeOutage},
	} {
		if err := step.run(ctx); err != nil {
			d.summary.Failed++
			d.printf("FAILED %s: %v", step.name, err)
			continue
		}
		d.summary.Passed++
	}
	d.summary.TookMS = time.Since(start).Milliseconds()
	line, err := json.Marshal(d.summary)
	if err != nil {
		return eris.Wrap(err, "can't write the summary")
	}
	fmt.Fprintln(out, string(line))
	if d.summary.Failed > 0 {
		return eris.Errorf("%d steps of the demonstration failed", d.summary.Failed)
	}
	return nil
}

func spec(ledger *stand.ExecutionLog) bench.Spec {
	engine := stand.DefaultEngineSpec()
	plain := stand.PlainSpec{Capacity: 4, ProcessingTime: 5 * time.Millisecond, ExecutionLog: ledger}
	return bench.Spec{
		Region:      region,
		DataCentres: []string{gmunden, ebensee, altmuenster},
		Teams:       []string{team, "seehaus"},
		AddressTTL:  time.Second,
		Entries: []bench.EntrySpec{
			{Name: firstEntry, DataCentre: gmunden},
			{Name: "entry-2", DataCentre: ebensee},
			{Name: "entry-3", DataCentre: altmuenster},
		},
		Services: []bench.Service{
			{Name: model, Kind: config.KindModel, Repeatable: true, Replicas: []bench.Replica{
				{Name: "skiff-1", DataCentre: gmunden, Engine: engine},
				{Name: "skiff-2", DataCentre: gmunden, Engine: engine},
				{Name: "skiff-3", DataCentre: ebensee, Engine: engine},
				{Name: "skiff-4", DataCentre: altmuenster, Engine: engine},
			}},
			{Name: bookings, Kind: config.KindPlain, PathPrefix: "/bootshaus", Replicas: []bench.Replica{
				{Name: "boot-1", DataCentre: gmunden, Plain: plain},
				{Name: "boot-2", DataCentre: ebensee, Plain: plain},
			}},
		},
	}
}

func (d *demonstration) printf(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

func (d *demonstration) entryAddress(entryName string) string {
	return d.bench.Entry(entryName).Address()
}

// entryAddresses returns the entry addresses that an entry lists for callers.
func (d *demonstration) entryAddresses(ctx context.Context) ([]string, error) {
	answer, err := d.bench.Call(ctx, d.entryAddress(firstEntry), "", http.MethodGet, "/v1/entries", "", nil)
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

func (d *demonstration) checkAddresses(ctx context.Context) error {
	addresses, err := d.entryAddresses(ctx)
	if err != nil {
		return err
	}
	d.printf("an entry lists %d addresses for callers", len(addresses))
	return expect(len(addresses) == 3, "3 addresses")
}

func chatBody(content string) string {
	return fmt.Sprintf(`{"model": %q, "stream": true, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`,
		model, chatTokens, content)
}

// streamChat sends a streamed chat request, measures when its first and last token
// arrive, and checks the answer.
func (d *demonstration) streamChat(ctx context.Context) error {
	const content = "Draft a line-up for the eight."
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+d.entryAddress("entry-2")+"/v1/chat/completions", strings.NewReader(chatBody(content)))
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
	terminated := false
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			terminated = true
			continue
		}
		text.WriteString(chunkText(data))
		last = time.Since(sent)
		if first == 0 {
			first = last
		}
	}
	d.printf("a streamed chat returned its first token after %d ms and its last after %d ms: %s",
		first.Milliseconds(), last.Milliseconds(), strings.TrimSpace(text.String()))
	if err := expect(terminated, "the stream to end with [DONE]"); err != nil {
		return err
	}
	if err := expect(first < last, "the first token before the last"); err != nil {
		return err
	}
	return expect(text.String() == stand.CompletionText(content, chatTokens), "the complete answer")
}

// chunkText returns the text in one chunk of a streamed answer.
func chunkText(data string) string {
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

// bookTwice books a boat, sends the duplicate to another entry, and checks that the
// booking ran once.
func (d *demonstration) bookTwice(ctx context.Context) error {
	key := http.Header{"Idempotency-Key": {"dawn-eight"}}
	first, err := d.bench.Call(ctx, d.entryAddress(firstEntry), team, http.MethodPost, "/bootshaus/bookings", `{"boat": 8}`, key)
	if err != nil {
		return err
	}
	second, err := d.bench.Call(ctx, d.entryAddress("entry-3"), team, http.MethodPost, "/bootshaus/bookings", `{"boat": 8}`, key)
	if err != nil {
		return err
	}
	d.printf("a booking returned status %d, its duplicate at another entry %d (replayed: %s); executions: %d",
		first.Status, second.Status, second.Header.Get("Lentilstand-Replayed"), len(d.ledger.Executions()))
	if err := expect(first.Status == http.StatusCreated, "the booking to be created"); err != nil {
		return err
	}
	if err := expect(string(first.Body) == string(second.Body), "the same response to the duplicate"); err != nil {
		return err
	}
	return expect(len(d.ledger.Executions()) == 1, "one execution")
}

// takeOutOfService takes a data centre out of service and checks that it gets no new
// requests.
func (d *demonstration) takeOutOfService(ctx context.Context) error {
	sent := time.Now()
	result, err := d.bench.SubmitPatch(ctx, firstEntry, 1, bench.DataCentreOutPatch(region, gmunden, true))
	if err != nil {
		return err
	}
	d.printf("the patch that takes %s out of service was %s as version %d after %d ms",
		gmunden, result.Result, result.Version, time.Since(sent).Milliseconds())
	if err := expect(result.Result == entry.ResultAccepted, "acceptance"); err != nil {
		return err
	}
	d.summary.Version = result.Version
	before := d.completedRequests("skiff-1") + d.completedRequests("skiff-2")
	if err := d.sendChats(ctx, 6); err != nil {
		return err
	}
	after := d.completedRequests("skiff-1") + d.completedRequests("skiff-2")
	addresses, err := d.entryAddresses(ctx)
	if err != nil {
		return err
	}
	d.printf("6 chats were served, %d of them in %s; an entry lists %d addresses for callers", after-before, gmunden, len(addresses))
	if err := expect(after == before, "no new requests in the data centre"); err != nil {
		return err
	}
	return expect(len(addresses) == 2, "2 addresses")
}

func (d *demonstration) completedRequests(endpoint string) int {
	return d.bench.Engine(endpoint).Counts().Completed
}

// sendChats sends chat requests one after the other, to all entries in turn.
func (d *demonstration) sendChats(ctx context.Context, count int) error {
	entries := []string{firstEntry, "entry-2", "entry-3"}
	for i := range count {
		response, err := d.bench.Call(ctx, d.entryAddress(entries[i%len(entries)]), team, http.MethodPost,
			"/v1/chat/completions", chatBody(fmt.Sprintf("Explain seat swap %d.", i)), nil)
		if err != nil {
			return err
		}
		if response.Status != http.StatusOK || !strings.HasSuffix(string(response.Body), "data: [DONE]\n\n") {
			return eris.Errorf("chat %d failed with status %d: %s", i, response.Status, response.Body)
		}
	}
	return nil
}

// returnToService returns the data centre to service and checks that a patch on an
// outdated version conflicts.
func (d *demonstration) returnToService(ctx context.Context) error {
	conflict, err := d.bench.SubmitPatch(ctx, "entry-2", 1, bench.DataCentreOutPatch(region, ebensee, true))
	if err != nil {
		return err
	}
	d.printf("a patch based on version 1 resulted in a %s: %s", conflict.Result, conflict.Message)
	if err := expect(conflict.Result == entry.ResultConflict, "a conflict"); err != nil {
		return err
	}
	result, err := d.bench.SubmitPatch(ctx, "entry-2", 2, bench.DataCentreOutPatch(region, gmunden, false))
	if err != nil {
		return err
	}
	d.printf("the patch that returns %s to service was %s as version %d", gmunden, result.Result, result.Version)
	if err := expect(result.Result == entry.ResultAccepted, "acceptance"); err != nil {
		return err
	}
	d.summary.Version = result.Version
	return d.sendChats(ctx, 6)
}

// storeOutage takes the key-value service down and checks that chats are still
// served, while a booking, which needs a claim there, is refused as not_run.
func (d *demonstration) storeOutage(ctx context.Context) error {
	d.bench.KVServer().SetFaults(fakes.StoreFaults{Down: true})
	defer d.bench.KVServer().SetFaults(fakes.StoreFaults{})
	time.Sleep(3 * time.Second)
	if err := d.sendChats(ctx, 3); err != nil {
		return err
	}
	key := http.Header{"Idempotency-Key": {"second"}}
	response, err := d.bench.Call(ctx, d.entryAddress(firstEntry), team, http.MethodPost, "/bootshaus/bookings", `{"boat": 2}`, key)
	if err != nil {
		return err
	}
	outcome := response.Header.Get("Lentilstand-Outcome")
	d.printf("with the key-value service down for 3 s, 3 chats were served; a booking was refused with status %d, outcome %s",
		response.Status, outcome)
	if err := expect(outcome == "not_run", "the refusal to have the outcome not_run"); err != nil {
		return err
	}
	return expect(len(d.ledger.Executions()) == 1, "no second execution")
}

// expect returns an error that names the expected outcome, unless ok is true.
func expect(ok bool, outcome string) error {
	if ok {
		return nil
	}
	return eris.Errorf("expected %s", outcome)
}
