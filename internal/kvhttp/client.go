package kvhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/pkg/store"
)

// Bounds of a client's calls.
const (
	defaultTimeout = time.Second
	dialTimeout    = 500 * time.Millisecond
	maxAnswerBytes = 64 << 20
)

// Client calls the key-value service. It is safe for concurrent use.
type Client struct {
	base    string
	name    string
	timeout time.Duration
	http    *http.Client
}

// ClientOption changes a Client.
type ClientOption func(*Client)

// WithTimeout sets how long a call other than a watch may take.
func WithTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.timeout = timeout }
}

// NewClient returns a client of the service at address, an IP address and port,
// that calls itself name.
func NewClient(address, name string, options ...ClientOption) *Client {
	client := &Client{
		base:    "http://" + address,
		name:    name,
		timeout: defaultTimeout,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 8,
			DisableCompression:  true,
		}},
	}
	for _, option := range options {
		option(client)
	}
	return client
}

// Traffic counts the bytes of all calls of this process.
var Traffic link.Traffic

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return Traffic.Count(conn), nil
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Read returns all pairs under the prefixes.
func (c *Client) Read(ctx context.Context, prefixes ...string) (store.Snapshot, error) {
	return c.read(ctx, PathRead, ReadCall{Prefixes: prefixes}, c.timeout)
}

// Watch returns the pairs under the prefixes once one of them has changed after
// the revision since, or an unchanged snapshot after wait.
func (c *Client) Watch(ctx context.Context, since uint64, wait time.Duration, prefixes ...string) (store.Snapshot, error) {
	call := ReadCall{Prefixes: prefixes, Since: since, WaitMS: wait.Milliseconds()}
	return c.read(ctx, PathWatch, call, wait+c.timeout)
}

func (c *Client) read(ctx context.Context, path string, call ReadCall, timeout time.Duration) (store.Snapshot, error) {
	var answer ReadAnswer
	if err := c.call(ctx, path, call, &answer, timeout); err != nil {
		return store.Snapshot{}, err
	}
	if answer.Unchanged {
		return store.Unchanged(answer.Revision), nil
	}
	pairs := make([]store.Pair, 0, len(answer.Pairs))
	for _, pair := range answer.Pairs {
		pairs = append(pairs, store.NewPair(pair.Key, pair.Value, pair.Revision))
	}
	return store.NewSnapshot(pairs, answer.Revision), nil
}

// Put sets key if it is at the revision expect, where zero means that it must
// not exist, and returns the new revision. A lease other than zero deletes the
// key when it lapses.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect, lease uint64) (uint64, error) {
	var answer WriteAnswer
	call := WriteCall{Key: key, Value: value, Expect: expect, Lease: lease}
	err := c.call(ctx, PathPut, call, &answer, c.timeout)
	return answer.Revision, err
}

// Delete removes key if it is at the revision expect.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	return c.call(ctx, PathDelete, WriteCall{Key: key, Expect: expect}, &WriteAnswer{}, c.timeout)
}

// Grant makes a lease that lapses unless it is renewed within ttl.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var answer LeaseAnswer
	err := c.call(ctx, PathGrant, LeaseCall{TTLMS: ttl.Milliseconds()}, &answer, c.timeout)
	return answer.Lease, err
}

// KeepAlive renews a lease.
func (c *Client) KeepAlive(ctx context.Context, lease uint64) error {
	return c.call(ctx, PathKeep, LeaseCall{Lease: lease}, &LeaseAnswer{}, c.timeout)
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	return c.call(ctx, PathRevoke, LeaseCall{Lease: lease}, &LeaseAnswer{}, c.timeout)
}

func (c *Client) call(ctx context.Context, path string, body, answer any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "can't encode a call")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return eris.Wrap(err, "can't make a call")
	}
	request.Header.Set(HeaderClient, c.name)
	// Calls are many and small, so header fields that nobody needs are left out.
	request.Header.Set("User-Agent", "")
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrap(transportError(err), err.Error())
	}
	defer response.Body.Close()
	if err := statusError(response.StatusCode); err != nil {
		return err
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return eris.Wrap(store.ErrUncertain, err.Error())
	}
	return nil
}

// transportError tells a call that never reached the service from one whose
// answer was lost. Only a failed dial proves that nothing was sent.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return store.ErrUnavailable
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return store.ErrUnavailable
	}
	return store.ErrUncertain
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return store.ErrConflict
	case http.StatusGone:
		return store.ErrLeaseGone
	case http.StatusServiceUnavailable:
		return store.ErrUnavailable
	default:
		return eris.Wrapf(store.ErrUncertain, "the key-value service answered %d", status)
	}
}
