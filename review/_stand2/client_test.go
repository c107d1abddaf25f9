package main

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// client is a consumer with kept channels to one entry.
type client struct {
	site  *site
	entry *entry
	http  http.Client
}

func (s *site) newClient(e *entry) *client {
	return &client{site: s, entry: e, http: http.Client{
		Timeout:   2 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true},
	}}
}

// answer is what a consumer got, status zero for none.
type answer struct {
	sent   time.Time
	status int
	body   string
}

// book sends a reservation.
func (c *client) book(id, key, path string) answer {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.entry.front+path, strings.NewReader("shell 4"))
	if err != nil {
		return answer{}
	}
	request.Host = "club.example"
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Lentilstand-Request-Id", id)
	request.Header.Set("Lentilstand-Deadline-Ms", "1500")
	result := answer{sent: time.Now()}
	c.site.logf("client: %s sent to %s with %s", id, c.entry.name, key)
	response, err := c.http.Do(request)
	if err != nil {
		c.site.logf("client: %s ended by %v", id, err)
		return result
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	result.status, result.body = response.StatusCode, string(body)
	c.site.logf("client: %s answered %d %q %v", id, result.status, result.body, err)
	return result
}
