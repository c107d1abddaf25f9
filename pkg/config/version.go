package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// ErrChainBroken says that a version doesn't follow from the one before it.
var ErrChainBroken = eris.New("the chain of configuration versions is broken")

// Version is one numbered configuration together with where it came from.
type Version struct {
	number uint64
	hash   string
	parent string
	when   time.Time
	patch  json.RawMessage
	config *Config
}

// Number returns the version's number; the first is 1.
func (v *Version) Number() uint64 { return v.number }

// Hash returns the hash of the version in hexadecimal. It covers the number,
// the configuration, the patch, the time and the hash of the version before.
func (v *Version) Hash() string { return v.hash }

// Parent returns the hash of the version before, empty for the first.
func (v *Version) Parent() string { return v.parent }

// CreatedAt returns the time at which the version was made.
func (v *Version) CreatedAt() time.Time { return v.when }

// PatchText returns the patch that made the version, as JSON.
func (v *Version) PatchText() json.RawMessage { return v.patch }

// Config returns the configuration.
func (v *Version) Config() *Config { return v.config }

// NewFirstVersion returns version 1 with the given configuration.
func NewFirstVersion(config *Config, when time.Time) *Version {
	version := &Version{number: 1, when: when.UTC(), config: config}
	version.hash = version.sum()
	return version
}

// ApplyPatch returns the version that patch makes of v. The patch must be based on v.
func (v *Version) ApplyPatch(patch *Patch, when time.Time) (*Version, error) {
	if patch.base != v.number {
		return nil, eris.Errorf("the patch is based on version %d, not on version %d", patch.base, v.number)
	}
	config, err := patch.Apply(v.config)
	if err != nil {
		return nil, err
	}
	next := &Version{
		number: v.number + 1,
		parent: v.hash,
		when:   when.UTC(),
		patch:  patch.Text(),
		config: config,
	}
	next.hash = next.sum()
	return next, nil
}

func (v *Version) sum() string {
	digest := sha256.New()
	for _, part := range [][]byte{
		[]byte(strconv.FormatUint(v.number, 10)),
		[]byte(v.parent),
		[]byte(v.when.Format(time.RFC3339Nano)),
		v.patch,
		v.config.Encode(),
	} {
		length := strconv.Itoa(len(part)) + ":"
		digest.Write([]byte(length))
		digest.Write(part)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Record is a version without its configuration, as the key-value service
// keeps it: small, since every node reads every record.
type Record struct {
	number uint64
	hash   string
	parent string
	when   time.Time
	patch  json.RawMessage
}

// Number returns the version's number.
func (r Record) Number() uint64 { return r.number }

// Hash returns the version's hash.
func (r Record) Hash() string { return r.hash }

// Parent returns the hash of the version before.
func (r Record) Parent() string { return r.parent }

// CreatedAt returns the time at which the version was made.
func (r Record) CreatedAt() time.Time { return r.when }

// Patch returns the patch that made the version, nil for the first.
func (r Record) Patch() (*Patch, error) {
	if len(r.patch) == 0 {
		return nil, nil
	}
	return ParsePatch("version "+strconv.FormatUint(r.number, 10), r.patch)
}

// Record returns the version without its configuration.
func (v *Version) Record() Record {
	return Record{number: v.number, hash: v.hash, parent: v.parent, when: v.when, patch: v.patch}
}

// wireRecord is the JSON shape of a Record.
type wireRecord struct {
	Number uint64          `json:"number"`
	Hash   string          `json:"hash"`
	Parent string          `json:"parent,omitempty"`
	When   time.Time       `json:"when"`
	Patch  json.RawMessage `json:"patch,omitempty"`
}

func (r Record) wire() wireRecord {
	return wireRecord{Number: r.number, Hash: r.hash, Parent: r.parent, When: r.when, Patch: r.patch}
}

func (w wireRecord) record() Record {
	return Record{number: w.Number, hash: w.Hash, parent: w.Parent, when: w.When, patch: w.Patch}
}

// wireSnapshot is the JSON shape of a version with its configuration.
type wireSnapshot struct {
	Record wireRecord      `json:"record"`
	Config json.RawMessage `json:"config"`
}

// Encode returns the record as JSON.
func (r Record) Encode() []byte { return mustEncode(r.wire()) }

// DecodeRecord reads a record that Encode wrote.
func DecodeRecord(data []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(data, &wire); err != nil {
		return Record{}, eris.Wrap(err, "can't decode a version record")
	}
	return wire.record(), nil
}

// EncodeSnapshot returns the version with its configuration as JSON.
func (v *Version) EncodeSnapshot() []byte {
	return mustEncode(wireSnapshot{Record: v.Record().wire(), Config: v.config.Encode()})
}

// ApplyRecord returns the version that the record describes, made from v by the
// record's patch. It fails with ErrChainBroken unless the hashes agree.
func (v *Version) ApplyRecord(record Record) (*Version, error) {
	if record.number != v.number+1 || record.parent != v.hash {
		return nil, eris.Wrapf(ErrChainBroken, "version %d doesn't follow version %d", record.number, v.number)
	}
	patch, err := record.Patch()
	if err != nil {
		return nil, err
	}
	if patch == nil {
		return nil, eris.Wrapf(ErrChainBroken, "version %d has no patch", record.number)
	}
	next, err := v.ApplyPatch(patch, record.when)
	if err != nil {
		return nil, err
	}
	if next.hash != record.hash {
		return nil, eris.Wrapf(ErrChainBroken, "version %d has the wrong hash", record.number)
	}
	return next, nil
}

// DecodeSnapshot reads a version that EncodeSnapshot wrote and checks its hash.
func DecodeSnapshot(data []byte) (*Version, error) {
	var wire wireSnapshot
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, eris.Wrap(err, "can't decode a version snapshot")
	}
	record := wire.Record.record()
	config, err := Parse("snapshot "+strconv.FormatUint(record.number, 10), wire.Config)
	if err != nil {
		return nil, err
	}
	version := &Version{
		number: record.number,
		hash:   record.hash,
		parent: record.parent,
		when:   record.when,
		patch:  record.patch,
		config: config,
	}
	if version.sum() != version.hash {
		return nil, eris.Wrapf(ErrChainBroken, "the snapshot of version %d has the wrong hash", version.number)
	}
	return version, nil
}
