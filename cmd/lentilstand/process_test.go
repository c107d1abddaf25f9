package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/procs"
	"github.com/lentilstand/lentilstand/internal/stand"
)

// fleetConfig is the configuration of the processes in these tests, with a verb for
// the endpoints. The API key of the team is "key".
const fleetConfig = `{
  "data_centres": [{"name": "gmunden", "region": "at-upper"}, {"name": "ebensee", "region": "at-upper"}, {"name": "altmuenster", "region": "at-upper"}],
  "services": [
    {"name": "skiff-lm", "kind": "model", "repeatable": true, "timeout_ms": 20000, "queue": {"max_wait_ms": 10000}},
    {"name": "bootshaus", "kind": "plain", "path_prefix": "/bootshaus", "repeatable": false, "queue": {"max_wait_ms": 10000}}
  ],
  "models": [{"name": "skiff-lm", "service": "skiff-lm"}],
  "teams": [{"name": "rowers", "key_sha256": "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"}],
  "endpoints": [%s]
}`

// startFleet starts two entries, four replicas of a model and two of a plain service
// in three data centres, each as a separate process.
func startFleet(t *testing.T) *procs.Fleet {
	t.Helper()
	f := procs.NewFleet(t)
	f.AddEngine("skiff-1", "skiff-lm", "gmunden")
	f.AddEngine("skiff-2", "skiff-lm", "ebensee")
	f.AddEngine("skiff-3", "skiff-lm", "altmuenster")
	f.AddEngine("skiff-4", "skiff-lm", "gmunden")
	f.AddPlain("boot-1", "bootshaus", "gmunden")
	f.AddPlain("boot-2", "bootshaus", "ebensee")
	f.InitConfig(fmt.Sprintf(fleetConfig, f.EndpointConfigs()))
	f.AddEntry("entry-1", "gmunden")
	f.AddEntry("entry-2", "ebensee")
	f.WaitReady()
	return f
}

// sendRequest sends a request with the API key of the team and returns the status,
// the header and the body of the response.
func sendRequest(address, method, path, body string, header http.Header) (int, http.Header, string, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, "", err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer key")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(answer), err
}

// streamedText returns the text of a streamed response and whether the stream was
// terminated by [DONE].
func streamedText(body string) (string, bool) {
	var text strings.Builder
	clean := false
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			clean = true
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String(), clean
}

func chatBody(content string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model": "skiff-lm", "stream": %t, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`, stream, tokens, content)
}

// sendMixedRequest sends a request whose kind depends on n (streamed chat, whole
// chat, booking or look-up) and returns an error if the response is wrong.
func sendMixedRequest(address string, n int) error {
	content := fmt.Sprintf("question %d", n)
	switch n % 4 {
	case 0:
		status, _, body, err := sendRequest(address, http.MethodPost, "/v1/chat/completions", chatBody(content, 6, true), nil)
		text, clean := streamedText(body)
		if err != nil || status != http.StatusOK || !clean || text != stand.CompletionText(content, 6) {
			return fmt.Errorf("stream %d: %d %w %q", n, status, err, body)
		}
	case 1:
		status, _, body, err := sendRequest(address, http.MethodPost, "/v1/chat/completions", chatBody(content, 6, false), nil)
		if err != nil || status != http.StatusOK || !strings.Contains(body, stand.CompletionText(content, 6)) {
			return fmt.Errorf("whole %d: %d %w %q", n, status, err, body)
		}
	case 2:
		header := http.Header{"Idempotency-Key": {content}}
		status, _, body, err := sendRequest(address, http.MethodPost, "/bootshaus/bookings", content, header)
		if err != nil || status != http.StatusCreated || !strings.Contains(body, content+`"`) {
			return fmt.Errorf("booking %d: %d %w %q", n, status, err, body)
		}
	default:
		status, _, body, err := sendRequest(address, http.MethodGet, fmt.Sprintf("/bootshaus/rack/%d", n), "", nil)
		if err != nil || status != http.StatusOK || !strings.Contains(body, fmt.Sprintf("/bootshaus/rack/%d\"", n)) {
			return fmt.Errorf("look-up %d: %d %w %q", n, status, err, body)
		}
	}
	return nil
}

// TestMixedRequestsOverSeparateProcesses guards against wrong responses and
// overloaded engines when concurrent requests of all kinds reach cold engines.
func TestMixedRequestsOverSeparateProcesses(t *testing.T) {
	f := startFleet(t)
	addresses := []string{f.Entries["entry-1"].Address, f.Entries["entry-2"].Address}
	const requests = 100
	failures := make([]error, requests)
	var wait sync.WaitGroup
	for n := range requests {
		wait.Add(1)
		go func() {
			defer wait.Done()
			failures[n] = sendMixedRequest(addresses[n/4%2], n)
		}()
	}
	wait.Wait()
	for _, failure := range failures {
		require.NoError(t, failure)
	}
	falls := 0
	for _, name := range []string{"skiff-1", "skiff-2", "skiff-3", "skiff-4"} {
		var counts stand.EngineCounts
		require.NoError(t, json.Unmarshal(f.Get(f.Agents[name].EndpointAddress, "/counts"), &counts))
		falls += counts.Crashes
	}
	require.Zero(t, falls, "engines that were overloaded and crashed")
}

// TestFirstTokenComesBeforeTheLast guards against an entry or agent that buffers a
// streamed response instead of forwarding each token.
func TestFirstTokenComesBeforeTheLast(t *testing.T) {
	f := startFleet(t)
	for _, a := range f.Agents {
		f.Post(a.EndpointAddress, "/faults", `{"pause_ms": 150}`)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+f.Entries["entry-1"].Address+"/v1/chat/completions",
		strings.NewReader(chatBody("slow", 6, true)))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer key")
	sent := time.Now()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	var first [1]byte
	_, err = io.ReadFull(response.Body, first[:])
	require.NoError(t, err)
	firstAfter := time.Since(sent)
	rest, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	lastAfter := time.Since(sent)
	_, clean := streamedText("d" + string(rest))
	require.True(t, clean)
	require.Greater(t, lastAfter-firstAfter, 600*time.Millisecond, "tokens must be forwarded as they arrive")
}
