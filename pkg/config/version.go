package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// ErrChainBroken means that a version doesn't follow from its parent, or that its
// hash is wrong.
var ErrChainBroken = eris.New("the hash chain of configuration versions is broken")

// Version is a numbered configuration with the patch that made it.
type Version struct {
	number    uint64
	hash      string
	parent    string
	createdAt time.Time
	patch     json.RawMessage
	config    *Config
}

// Number returns the version's number; the first is 1.
func (v *Version) Number() uint64 { return v.number }

// Hash returns the version's hash in hexadecimal. It covers the number, the
// parent's hash, the time of creation, the patch and the configuration.
func (v *Version) Hash() string { return v.hash }

// Parent returns the hash of the previous version, empty for the first.
func (v *Version) Parent() string { return v.parent }

// CreatedAt returns the time at which the version was created.
func (v *Version) CreatedAt() time.Time { return v.createdAt }

// PatchText returns the patch that made the version, as JSON.
func (v *Version) PatchText() json.RawMessage { return v.patch }

// Config returns the configuration.
func (v *Version) Config() *Config { return v.config }

// NewFirstVersion returns version 1 with the given configuration.
func NewFirstVersion(config *Config, createdAt time.Time) *Version {
	version := &Version{number: 1, createdAt: createdAt.UTC(), config: config}
	version.hash = version.computeHash()
	return version
}

// ApplyPatch returns the next version, which is v with the patch applied. The patch
// must be based on v.
func (v *Version) ApplyPatch(patch *Patch, createdAt time.Time) (*Version, error) {
	if patch.base != v.number {
		return nil, eris.Errorf("the patch is based on version %d, not on version %d", patch.base, v.number)
	}
	config, err := patch.Apply(v.config)
	if err != nil {
		return nil, err
	}
	next := &Version{
		number:    v.number + 1,
		parent:    v.hash,
		createdAt: createdAt.UTC(),
		patch:     patch.Text(),
		config:    config,
	}
	next.hash = next.computeHash()
	return next, nil
}

// computeHash hashes the fields with their lengths, so that no two versions hash
// the same bytes.
func (v *Version) computeHash() string {
	digest := sha256.New()
	for _, part := range [][]byte{
		[]byte(strconv.FormatUint(v.number, 10)),
		[]byte(v.parent),
		[]byte(v.createdAt.Format(time.RFC3339Nano)),
		v.patch,
		v.config.Encode(),
	} {
		length := strconv.Itoa(len(part)) + ":"
		digest.Write([]byte(length))
		digest.Write(part)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Record is a version without its configuration, as the key-value service stores
// it. It leaves the configuration out to stay small, because every process reads
// every record.
type Record struct {
	number    uint64
	hash      string
	parent    string
	createdAt time.Time
	patch     json.RawMessage
}

// Number returns the version's number.
func (r Record) Number() uint64 { return r.number }

// Hash returns the version's hash.
func (r Record) Hash() string { return r.hash }

// Parent returns the hash of the previous version.
func (r Record) Parent() string { return r.parent }

// CreatedAt returns the time at which the version was created.
func (r Record) CreatedAt() time.Time { return r.createdAt }

// Patch returns the patch that made the version, nil for the first.
func (r Record) Patch() (*Patch, error) {
	if len(r.patch) == 0 {
		return nil, nil
	}
	return ParsePatch("version "+strconv.FormatUint(r.number, 10), r.patch)
}

// Record returns the version without its configuration.
func (v *Version) Record() Record {
	return Record{number: v.number, hash: v.hash, parent: v.parent, createdAt: v.createdAt, patch: v.patch}
}

// wireRecord is the JSON form of a Record.
type wireRecord struct {
	Number uint64          `json:"number"`
	Hash   string          `json:"hash"`
	Parent string          `json:"parent,omitempty"`
	When   time.Time       `json:"when"`
	Patch  json.RawMessage `json:"patch,omitempty"`
}

func (r Record) wire() wireRecord {
	return wireRecord{Number: r.number, Hash: r.hash, Parent: r.parent, When: r.createdAt, Patch: r.patch}
}

func (w wireRecord) record() Record {
	return Record{number: w.Number, hash: w.Hash, parent: w.Parent, createdAt: w.When, patch: w.Patch}
}

// wireSnapshot is the JSON form of a version with its configuration.
type wireSnapshot struct {
	Record wireRecord      `json:"record"`
	Config json.RawMessage `json:"config"`
}

// Encode returns the record as JSON.
func (r Record) Encode() []byte { return mustEncode(r.wire()) }

// DecodeRecord decodes a record that Encode encoded.
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

// ApplyRecord returns the version that the record describes, which is v with the
// record's patch applied. It fails with ErrChainBroken unless the hashes match.
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
	next, err := v.ApplyPatch(patch, record.createdAt)
	if err != nil {
		return nil, err
	}
	if next.hash != record.hash {
		return nil, eris.Wrapf(ErrChainBroken, "version %d has the wrong hash", record.number)
	}
	return next, nil
}

// DecodeSnapshot decodes a version that EncodeSnapshot encoded and verifies its
// hash.
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
		number:    record.number,
		hash:      record.hash,
		parent:    record.parent,
		createdAt: record.createdAt,
		patch:     record.patch,
		config:    config,
	}
	if version.computeHash() != version.hash {
		return nil, eris.Wrapf(ErrChainBroken, "the snapshot of version %d has the wrong hash", version.number)
	}
	return version, nil
}
