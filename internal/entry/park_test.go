package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/stand"
)

// TestSlowReadersAreParked has more callers stop reading than the stream budget
// allows. The excess streams must be canceled at the engines, and every response must
// be complete once the callers resume reading.
func TestSlowReadersAreParked(t *testing.T) {
	const readers, tokens, allowed = 8, 3000, 2
	engine := stand.DefaultEngineSpec()
	engine.Capacity, engine.ColdCapacity, engine.Step = readers, readers, time.Millisecond
	spec := twoEntries(engine)
	spec.Entries = spec.Entries[:1]
	spec.StreamBudget = allowed * link.WindowBytes
	b := startBench(t, spec)
	running := func() int {
		return b.Engine("asistent-1").Counts().Running + b.Engine("asistent-2").Counts().Running
	}
	resume := make(chan struct{})
	texts := make([]string, readers)
	var wait sync.WaitGroup
	for n := range readers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			texts[n] = readLate(t, b.Entry("entry-1").Address(), fmt.Sprint("reader ", n), tokens, resume)
		}()
	}
	require.Eventually(t, func() bool { return running() >= readers/2 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return running() <= allowed }, 10*time.Second, 10*time.Millisecond,
		"streams above the budget must be cancelled")
	close(resume)
	wait.Wait()
	for n, text := range texts {
		require.Equal(t, stand.CompletionText(fmt.Sprint("reader ", n), tokens), text)
	}
}

// readLate sends a request, reads nothing until resume is closed, and returns the text
// of the full response.
func readLate(t *testing.T, address, content string, tokens int, resume <-chan struct{}) string {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		}
		return conn, err
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial, ReadBufferSize: 4 << 10, DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(chatOf(content, tokens)))
	if err != nil {
		t.Error(err)
		return ""
	}
	request.Header.Set("Authorization", "Bearer "+bench.APIKey("a"))
	response, err := client.Do(request)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer response.Body.Close()
	<-resume
	var text strings.Builder
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		_, rest, ok := strings.Cut(lines.Text(), `"content":"`)
		if ok {
			token, _, _ := strings.Cut(rest, `"`)
			text.WriteString(token)
		}
	}
	return text.String()
}
