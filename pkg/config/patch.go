package config

import (
	"encoding/json"
	"slices"

	"github.com/lentilstand/lentilstand/pkg/diag"
	"github.com/lentilstand/lentilstand/pkg/jsonc"
)

// Patch is an operator's change to a numbered version.
type Patch struct {
	base      uint64
	author    string
	reason    string
	set       *Config
	deleted   deletions
	rawSet    json.RawMessage
	rawDelete json.RawMessage
	source    *reader
	position  diag.Position
}

// deletions are the names of the objects that a patch deletes, by kind.
type deletions struct {
	dataCentres []string
	endpoints   []string
	services    []string
	models      []string
	teams       []string
}

// Base returns the number of the version that the patch applies to.
func (p *Patch) Base() uint64 { return p.base }

// Author returns the name of the operator who made the patch.
func (p *Patch) Author() string { return p.author }

// Reason returns the reason for the patch.
func (p *Patch) Reason() string { return p.reason }

// Text returns the patch as JSON without comments.
func (p *Patch) Text() json.RawMessage {
	return mustEncode(wirePatch{
		Base:   p.base,
		Who:    p.author,
		Why:    p.reason,
		Set:    p.rawSet,
		Delete: p.rawDelete,
	})
}

// PatchOption is an option of ParsePatch.
type PatchOption func(*Patch)

// WithBase overrides the base version that the text gives.
func WithBase(base uint64) PatchOption {
	return func(p *Patch) { p.base = base }
}

// ParsePatch reads a patch from JSON with comments:
//
//	{
//	  "base": 7,
//	  "who": "anna",
//	  "why": "maintenance at ebensee",
//	  "set": {"data_centres": [{"name": "ebensee", "region": "at-upper", "out": true}]},
//	  "delete": {"models": ["skiff-lm-old"]}
//	}
//
// An object under "set" replaces the whole object of the same name.
func ParsePatch(file string, data []byte, options ...PatchOption) (*Patch, error) {
	var findings diag.List
	root := jsonc.Parse(file, data, &findings)
	if root == nil {
		return nil, findings.Err()
	}
	patch := readPatch(root, &findings)
	for _, option := range options {
		option(patch)
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return patch, nil
}

func readPatch(root *jsonc.Object, findings *diag.List) *Patch {
	patch := &Patch{
		base:      uint64(root.IntOr("base", 0, 0, 1<<53)),
		author:    root.String("who"),
		reason:    root.String("why"),
		set:       (&Config{}).clone(),
		source:    &reader{findings: findings},
		rawSet:    root.Raw("set"),
		rawDelete: root.Raw("delete"),
		position:  root.Position(),
	}
	if set := root.ObjectOr("set"); set != nil {
		patch.source.readInto(patch.set, set)
		set.RejectUnknown()
	}
	if deleted := root.ObjectOr("delete"); deleted != nil {
		patch.deleted = readDeletions(deleted)
		deleted.RejectUnknown()
	}
	root.RejectUnknown()
	return patch
}

type wirePatch struct {
	Base   uint64          `json:"base"`
	Who    string          `json:"who"`
	Why    string          `json:"why"`
	Set    json.RawMessage `json:"set,omitempty"`
	Delete json.RawMessage `json:"delete,omitempty"`
}

func readDeletions(object *jsonc.Object) deletions {
	return deletions{
		dataCentres: object.Strings(dataCentresField),
		endpoints:   object.Strings(endpointsField),
		services:    object.Strings(servicesField),
		models:      object.Strings(modelsField),
		teams:       object.Strings(teamsField),
	}
}

// Apply returns base with the patch applied. The returned *diag.Error holds every
// finding.
func (p *Patch) Apply(base *Config) (*Config, error) {
	var findings diag.List
	config := base.clone()
	deleteAll(config.dataCentres, p.deleted.dataCentres, dataCentresField, p.position, &findings)
	deleteAll(config.endpoints, p.deleted.endpoints, endpointsField, p.position, &findings)
	deleteAll(config.services, p.deleted.services, servicesField, p.position, &findings)
	deleteAll(config.models, p.deleted.models, modelsField, p.position, &findings)
	deleteAll(config.teams, p.deleted.teams, teamsField, p.position, &findings)
	setAll(config.dataCentres, p.set.dataCentres)
	setAll(config.endpoints, p.set.endpoints)
	setAll(config.services, p.set.services)
	setAll(config.models, p.set.models)
	setAll(config.teams, p.set.teams)
	config.index()
	config.check(p.source, p.position, &findings)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return config, nil
}

func deleteAll[V any](objects map[string]V, names []string, kind string, position diag.Position, findings *diag.List) {
	for _, name := range names {
		if _, ok := objects[name]; !ok {
			findings.Addf(position, "can't delete %q from %s: it doesn't exist", name, kind)
		}
		delete(objects, name)
	}
}

func setAll[V any](objects, set map[string]V) {
	for name, object := range set {
		objects[name] = object
	}
}

// Difference is an object that differs between two configurations.
type Difference struct {
	kind   string
	name   string
	before string
	after  string
}

// Kind returns the kind of the object, such as "teams".
func (d Difference) Kind() string { return d.kind }

// Name returns the name of the object.
func (d Difference) Name() string { return d.name }

// Before returns the former object as JSON, empty if the object was added.
func (d Difference) Before() string { return d.before }

// After returns the new object as JSON, empty if the object was deleted.
func (d Difference) After() string { return d.after }

// Diff returns the differences between two configurations, grouped by kind and
// sorted by name.
func Diff(before, after *Config) []Difference {
	return slices.Concat(
		diffKind(dataCentresField, before.dataCentres, after.dataCentres, toWireDataCentre),
		diffKind(endpointsField, before.endpoints, after.endpoints, toWireEndpoint),
		diffKind(servicesField, before.services, after.services, toWireService),
		diffKind(modelsField, before.models, after.models, toWireModel),
		diffKind(teamsField, before.teams, after.teams, toWireTeam),
	)
}

func diffKind[D, W any](kind string, before, after map[string]D, toWire func(D) W) []Difference {
	all := cloneMap(before)
	setAll(all, after)
	var differences []Difference
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		difference := Difference{kind: kind, name: name}
		if object, ok := before[name]; ok {
			difference.before = string(mustEncode(toWire(object)))
		}
		if object, ok := after[name]; ok {
			difference.after = string(mustEncode(toWire(object)))
		}
		if difference.before != difference.after {
			differences = append(differences, difference)
		}
	}
	return differences
}

// RevertPatch returns the text of a patch on base that restores each object that
// differs between before and after to its state in before.
func RevertPatch(before, after *Config, base uint64, author, reason string) []byte {
	set := make(map[string][]json.RawMessage)
	deleted := make(map[string][]string)
	for _, difference := range Diff(before, after) {
		if difference.before == "" {
			deleted[difference.kind] = append(deleted[difference.kind], difference.name)
			continue
		}
		set[difference.kind] = append(set[difference.kind], json.RawMessage(difference.before))
	}
	wire := wirePatch{Base: base, Who: author, Why: reason}
	if len(set) > 0 {
		wire.Set = mustEncode(set)
	}
	if len(deleted) > 0 {
		wire.Delete = mustEncode(deleted)
	}
	return mustEncode(wire)
}
