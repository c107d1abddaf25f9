// Package kvhttp speaks the protocol of the platform's key-value service: JSON
// over HTTP, one POST an operation. The page docs/design/key-value.md describes
// it.
package kvhttp

// The paths of the operations.
const (
	PathRead   = "/v1/read"
	PathWatch  = "/v1/watch"
	PathPut    = "/v1/put"
	PathDelete = "/v1/delete"
	PathGrant  = "/v1/lease/grant"
	PathKeep   = "/v1/lease/keep"
	PathRevoke = "/v1/lease/revoke"
)

// HeaderClient names the process that makes a call.
const HeaderClient = "X-Client"

// ReadCall asks for all pairs under the prefixes. For a watch, Since is the
// last revision seen and WaitMS how long to wait for a newer one.
type ReadCall struct {
	Prefixes []string `json:"prefixes"`
	Since    uint64   `json:"since,omitempty"`
	WaitMS   int64    `json:"wait_ms,omitempty"`
}

// ReadAnswer is the answer to a read or a watch.
type ReadAnswer struct {
	Revision  uint64 `json:"revision"`
	Unchanged bool   `json:"unchanged,omitempty"`
	Pairs     []Pair `json:"pairs,omitempty"`
}

// Pair is a key with its value.
type Pair struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// WriteCall sets or deletes a key that is at revision Expect.
type WriteCall struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Expect uint64 `json:"expect"`
	Lease  uint64 `json:"lease,omitempty"`
}

// WriteAnswer is the answer to a write.
type WriteAnswer struct {
	Revision uint64 `json:"revision"`
}

// LeaseCall makes, renews or ends a lease.
type LeaseCall struct {
	Lease uint64 `json:"lease,omitempty"`
	TTLMS int64  `json:"ttl_ms,omitempty"`
}

// LeaseAnswer is the answer to a lease call.
type LeaseAnswer struct {
	Lease uint64 `json:"lease"`
}
