package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/internal/entry"
)

// SubmitPatch submits a patch based on version base at the named entry.
func (b *Bench) SubmitPatch(ctx context.Context, name string, base uint64, patch string) (entry.PatchResult, error) {
	target := fmt.Sprintf("http://%s/patches?base=%d&file=%s", b.Entry(name).AdminAddress(), base, url.QueryEscape("patch"))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader([]byte(patch)))
	if err != nil {
		return entry.PatchResult{}, eris.Wrap(err, "can't submit a patch")
	}
	response, err := b.client.Do(request)
	if err != nil {
		return entry.PatchResult{}, eris.Wrap(err, "can't submit a patch")
	}
	defer response.Body.Close()
	var submission entry.PatchResult
	if err := json.NewDecoder(response.Body).Decode(&submission); err != nil {
		return entry.PatchResult{}, eris.Wrap(err, "can't decode the result of a patch")
	}
	return submission, nil
}

// DataCentreOutPatch returns a patch that takes a data centre out of service, or
// puts it back if out is false.
func DataCentreOutPatch(region, dataCentre string, out bool) string {
	return fmt.Sprintf(`{"who": "bench", "why": "maintenance", "set": {"data_centres": [{"name": %q, "region": %q, "out": %t}]}}`,
		dataCentre, region, out)
}

// Response is an HTTP response with its complete body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends a request to an entry and returns the response. If the response is
// truncated, Call returns the part received so far with the error.
func (b *Bench) Call(ctx context.Context, address, team, method, path, body string, header http.Header) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return Response{}, eris.Wrap(err, "can't create a request")
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if team != "" {
		request.Header.Set("Authorization", "Bearer "+APIKey(team))
	}
	response, err := b.client.Do(request)
	if err != nil {
		return Response{}, eris.Wrap(err, "can't send a request")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Header: response.Header, Body: content}, err
}
