package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// token returns the text of the nth token of an answer, which depends on the
// prompt alone, so that an answer can be told from another one and resumed.
func token(prompt string, n int) string {
	return fmt.Sprintf("%x.%d ", xxhash.Sum64String(prompt)&0xffff, n)
}

// CompletionText returns the whole text that an engine gives for a prompt of one user
// message.
func CompletionText(content string, tokens int) string {
	prompt := "user: " + content + "\n"
	var text strings.Builder
	for n := range tokens {
		text.WriteString(token(prompt, n))
	}
	return text.String()
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, call chatCall, seq *sequence, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	if offset > 0 {
		w.Header().Set(HeaderResume, strconv.Itoa(offset))
	}
	controller := http.NewResponseController(w)
	if controller.Flush() != nil {
		return
	}
	prompt := call.prompt()
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
			write(streamChunk(seq.id, call.Model, token(prompt, n)))
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

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, call chatCall, seq *sequence) {
	prompt := call.prompt()
	var text strings.Builder
	for n := 0; ; n++ {
		select {
		case _, ok := <-seq.tokens:
			if !ok {
				WriteJSON(w, map[string]any{
					"id":     "chatcmpl-" + seq.id,
					"object": "chat.completion",
					"model":  call.Model,
					"choices": []any{map[string]any{
						"index":         0,
						"message":       map[string]any{"role": "assistant", "content": text.String()},
						"finish_reason": "stop",
					}},
					"usage": map[string]any{"completion_tokens": n},
				})
				return
			}
			text.WriteString(token(prompt, n))
		case <-seq.failed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
