package matrix

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/bench"
)

// slowTime is how long a slow caller takes nothing.
const slowTime = 2 * time.Second

// slowCallerCells are callers that stop reading for a while at a step.
func slowCallerCells() []cell {
	var cells []cell
	for step, tokens := range map[string]int{"first token": 1, "mid stream": 5, "last chunk": chatTokens} {
		cells = append(cells, cell{fault: "caller slow", step: step, run: func(t *testing.T) {
			w := newWorld(t)
			const content = "slow caller"
			got := w.slowChat(t, content, tokens)
			require.True(t, checkChat(t, content, got))
			require.True(t, checkChat(t, "other", w.chat("entry-1", "other")))
		}})
	}
	return cells
}

// slowChat sends a chat and stops reading for a while after some tokens.
func (w *world) slowChat(t *testing.T, content string, tokens int) answer {
	body := `{"model": "lm", "stream": true, "max_tokens": 12, "messages": [{"role": "user", "content": "` + content + `"}]}`
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+w.b.Entry("entry-1").Address()+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+bench.APIKey("a"))
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	got := answer{status: response.StatusCode}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		got.body += lines.Text() + "\n"
		if strings.Count(got.body, "data: {") == tokens {
			tokens = -1
			time.Sleep(slowTime)
		}
	}
	got.broken = lines.Err() != nil
	return got
}
