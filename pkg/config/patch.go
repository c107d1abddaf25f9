package config

import (
	"encoding/json"
	"slices"

	"github.com/lentilstand/lentilstand/pkg/diag"
	"github.com/lentilstand/lentilstand/pkg/jsonc"
)

// Patch is a change that an operator wants to make to a numbered version.
type Patch struct {
	base    uint64
	who     string
	why     string
	set     *Config
	drop    deletions
	rawSet  json.RawMessage
	rawDrop json.RawMessage
	places  *reader
	place   diag.Position
}

// deletions are the names of the objects that a patch deletes, by kind.
type deletions struct {
	dataCentres []string
	endpoints   []string
	services    []string
	models      []string
	teams       []string
}

// Base returns the number of the version that the patch changes.
func (p *Patch) Base() uint64 { return p.base }

// Author returns who made the patch.
func (p *Patch) Author() string { return p.who }

// Reason returns the reason for the patch.
func (p *Patch) Reason() string { return p.why }

// Text returns the patch as JSON without comments.
func (p *Patch) Text() json.RawMessage {
	return mustEncode(wirePatch{
		Base:   p.base,
		Who:    p.who,
		Why:    p.why,
		Set:    p.rawSet,
		Delete: p.rawDrop,
	})
}

// PatchOption changes what ParsePatch returns.
type PatchOption func(*Patch)

// WithBase sets the base version over the one that the text names.
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
// An object under "set" takes the place of the one with its name, as a whole.
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
		base:    uint64(root.IntOr("base", 0, 0, 1<<53)),
		who:     root.String("who"),
		why:     root.String("why"),
		set:     (&Config{}).clone(),
		places:  &reader{findings: findings},
		rawSet:  root.Raw("set"),
		rawDrop: root.Raw("delete"),
		place:   root.Position(),
	}
	if set := root.ObjectOr("set"); set != nil {
		patch.places.readInto(patch.set, set)
		set.RejectUnknown()
	}
	if drop := root.ObjectOr("delete"); drop != nil {
		patch.drop = readDeletions(drop)
		drop.RejectUnknown()
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

// Apply returns the configuration that the patch makes of base. All findings
// are in the returned *diag.Error.
func (p *Patch) Apply(base *Config) (*Config, error) {
	var findings diag.List
	config := base.clone()
	dropAll(config.dataCentres, p.drop.dataCentres, dataCentresField, p.place, &findings)
	dropAll(config.endpoints, p.drop.endpoints, endpointsField, p.place, &findings)
	dropAll(config.services, p.drop.services, servicesField, p.place, &findings)
	dropAll(config.models, p.drop.models, modelsField, p.place, &findings)
	dropAll(config.teams, p.drop.teams, teamsField, p.place, &findings)
	setAll(config.dataCentres, p.set.dataCentres)
	setAll(config.endpoints, p.set.endpoints)
	setAll(config.services, p.set.services)
	setAll(config.models, p.set.models)
	setAll(config.teams, p.set.teams)
	config.index()
	config.check(p.places, p.place, &findings)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return config, nil
}

func dropAll[V any](objects map[string]V, names []string, kind string, place diag.Position, findings *diag.List) {
	for _, name := range names {
		if _, ok := objects[name]; !ok {
			findings.Addf(place, "can't delete %q from %s: there is none", name, kind)
		}
		delete(objects, name)
	}
}

func setAll[V any](objects, set map[string]V) {
	for name, object := range set {
		objects[name] = object
	}
}

// Difference is one object that two configurations don't have in common.
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

// Before returns the object as JSON, empty if it is new.
func (d Difference) Before() string { return d.before }

// After returns the object as JSON, empty if it is gone.
func (d Difference) After() string { return d.after }

// Diff returns what differs between two configurations, by kind and name.
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

// RevertPatch returns the text of a patch on base that brings the objects which a
// change from before to after touched back to what they were before it.
func RevertPatch(before, after *Config, base uint64, who, why string) []byte {
	set := make(map[string][]json.RawMessage)
	drop := make(map[string][]string)
	for _, difference := range Diff(before, after) {
		if difference.before == "" {
			drop[difference.kind] = append(drop[difference.kind], difference.name)
			continue
		}
		set[difference.kind] = append(set[difference.kind], json.RawMessage(difference.before))
	}
	wire := wirePatch{Base: base, Who: who, Why: why}
	if len(set) > 0 {
		wire.Set = mustEncode(set)
	}
	if len(drop) > 0 {
		wire.Delete = mustEncode(drop)
	}
	return mustEncode(wire)
}
