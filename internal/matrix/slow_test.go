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

// readPause is how long a slow caller stops reading.
const readPause = 2 * time.Second

// slowCallerCells returns the cells in which a caller stops reading at a step.
func slowCallerCells() []cell {
	var cells []cell
	for step, tokens := range map[string]int{"first token": 1, "mid stream": 5, "last chunk": chatTokens} {
		cells = append(cells, cell{fault: "caller slow", step: step, run: func(t *testing.T) {
			env := newTestEnv(t)
			const content = "slow caller"
			got := env.slowChat(t, content, tokens)
			require.True(t, checkChat(t, content, got))
			require.True(t, checkChat(t, "other", env.chat("entry-1", "other")))
		}})
	}
	return cells
}

// slowChat sends a chat and stops reading for readPause after the given number of
// tokens.
func (env *testEnv) slowChat(t *testing.T, content string, tokens int) answer {
	body := `{"model": "lm", "stream": true, "max_tokens": 12, "messages": [{"role": "user", "content": "` + content + `"}]}`
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+env.b.Entry("entry-1").Address()+"/v1/chat/completions", strings.NewReader(body))
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
			time.Sleep(readPause)
		}
	}
	got.broken = lines.Err() != nil
	return got
}
