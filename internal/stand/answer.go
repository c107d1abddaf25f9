package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// tokenText returns the text of the nth token of a completion. It depends only on
// the prompt and n, so that the completions of different prompts can be told apart
// and a completion can be resumed.
func tokenText(prompt string, n int) string {
	return fmt.Sprintf("%x.%d ", xxhash.Sum64String(prompt)&0xffff, n)
}

// CompletionText returns the text that an engine generates for a conversation of
// one user message, with the given number of tokens.
func CompletionText(content string, tokens int) string {
	prompt := "user: " + content + "\n"
	var text strings.Builder
	for n := range tokens {
		text.WriteString(tokenText(prompt, n))
	}
	return text.String()
}

// streamCompletion writes the completion as server-sent events, starting at byte
// offset of the response body.
func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, req chatRequest, seq *sequence, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	if offset > 0 {
		w.Header().Set(HeaderResume, strconv.Itoa(offset))
	}
	controller := http.NewResponseController(w)
	if controller.Flush() != nil {
		return
	}
	prompt := req.prompt()
	sent := 0
	write := func(piece string) {
		skip := min(max(0, offset-sent), len(piece))
		sent += len(piece)
		if skip < len(piece) {
			_, _ = w.Write([]byte(piece[skip:]))
			_ = controller.Flush()
		}
	}
	for n := 0; ; n++ {
		select {
		case _, ok := <-seq.tokens:
			if !ok {
				write("data: [DONE]\n\n")
				return
			}
			write(streamChunk(seq.id, req.Model, tokenText(prompt, n)))
		case <-seq.failed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func streamChunk(id, model, text string) string {
	chunk := map[string]any{
		"id":      "chatcmpl-" + id,
		"object":  "chat.completion.chunk",
		"model":   model,
		"choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": text}}},
	}
	encoded, _ := json.Marshal(chunk)
	return "data: " + string(encoded) + "\n\n"
}

// writeCompletion waits for all tokens and writes the completion as one JSON
// object.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, req chatRequest, seq *sequence) {
	prompt := req.prompt()
	var text strings.Builder
	for n := 0; ; n++ {
		select {
		case _, ok := <-seq.tokens:
			if !ok {
				WriteJSON(w, map[string]any{
					"id":     "chatcmpl-" + seq.id,
					"object": "chat.completion",
					"model":  req.Model,
					"choices": []any{map[string]any{
						"index":         0,
						"message":       map[string]any{"role": "assistant", "content": text.String()},
						"finish_reason": "stop",
					}},
					"usage": map[string]any{"completion_tokens": n},
				})
				return
			}
			text.WriteString(tokenText(prompt, n))
		case <-seq.failed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
