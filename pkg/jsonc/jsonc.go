// Package jsonc parses JSON with comments for hand-written decoders. It reports all
// errors in a document, with line and column.
//
// A decoder reads each field of an Object and then calls RejectUnknown, which
// reports the fields that were not read. Decoding continues after an error with a
// valid or zero value in place of the invalid one, so that one pass finds all
// errors.
package jsonc

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"github.com/lentilstand/lentilstand/pkg/diag"
)

// MaxDepth is the maximum nesting depth of arrays and objects.
const MaxDepth = 64

// document is the source text, from which positions are computed.
type document struct {
	file     string
	data     []byte
	findings *diag.List
}

// position returns the line and column of a byte offset.
func (d *document) position(offset int) diag.Position {
	line, column := 1, 1
	for _, b := range d.data[:min(offset, len(d.data))] {
		column++
		if b == '\n' {
			line++
			column = 1
		}
	}
	return diag.NewPosition(d.file, line, column)
}

// Parse parses a document whose top-level value is an object. It adds the errors to
// findings, and returns nil if the document has no valid syntax or is not an object.
// For a field that is given twice it adds a finding and keeps the first value.
func Parse(file string, data []byte, findings *diag.List) *Object {
	doc := &document{file: file, data: data, findings: findings}
	if !utf8.Valid(data) {
		findings.Addf(doc.position(0), "the text is not valid UTF-8")
		return nil
	}
	if offset, ok := excessDepth(data); ok {
		findings.Addf(doc.position(offset), "values nest deeper than %d levels", MaxDepth)
		return nil
	}
	value, err := hujson.Parse(data)
	if err != nil {
		findings.Addf(diag.NewPosition(file, 0, 0), "%v", err)
		return nil
	}
	return newObject(doc, &value)
}

// excessDepth returns the offset at which brackets nest deeper than MaxDepth, if
// there is one. It also counts brackets in strings and comments, so the limit is
// inexact for a document with many unbalanced brackets there, which is unusual.
func excessDepth(data []byte) (int, bool) {
	depth := 0
	for i, b := range data {
		switch b {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > MaxDepth {
			return i, true
		}
	}
	return 0, false
}

// Object is a JSON object whose fields are read one by one. Its methods add a
// finding for each invalid field.
type Object struct {
	doc    *document
	start  int
	fields map[string]*hujson.Value
	names  []string
	read   map[string]bool
}

func newObject(doc *document, value *hujson.Value) *Object {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		doc.findings.Addf(doc.position(value.StartOffset), "must be an object")
		return nil
	}
	o := &Object{
		doc:    doc,
		start:  value.StartOffset,
		fields: make(map[string]*hujson.Value, len(object.Members)),
		read:   make(map[string]bool, len(object.Members)),
	}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		if _, duplicate := o.fields[name]; duplicate {
			doc.findings.Addf(doc.position(member.Name.StartOffset), "field %q is given twice", name)
			continue
		}
		o.fields[name] = &member.Value
		o.names = append(o.names, name)
	}
	return o
}

// Position returns the position of the object.
func (o *Object) Position() diag.Position { return o.doc.position(o.start) }

// FieldPosition returns the position of the value of a field, or that of the
// object if it has no such field.
func (o *Object) FieldPosition(name string) diag.Position {
	if value, ok := o.fields[name]; ok {
		return o.doc.position(value.StartOffset)
	}
	return o.Position()
}

// Has reports whether the object has the field.
func (o *Object) Has(name string) bool {
	_, ok := o.fields[name]
	return ok
}

// Addf adds a finding at the value of a field.
func (o *Object) Addf(name, format string, args ...any) {
	o.doc.findings.Addf(o.FieldPosition(name), format, args...)
}

// RejectUnknown adds a finding for each field that has not been read.
func (o *Object) RejectUnknown() {
	for _, name := range o.names {
		if !o.read[name] {
			o.Addf(name, "unknown field %q", name)
		}
	}
}

// field returns the value of a field, nil if there is none, and marks the field as
// read. It adds a finding if a required field is missing.
func (o *Object) field(name string, required bool) *hujson.Value {
	o.read[name] = true
	value, ok := o.fields[name]
	if !ok && required {
		o.doc.findings.Addf(o.Position(), "field %q is missing", name)
	}
	return value
}

// literal returns the value and its kind if it is a literal, and otherwise nil and
// zero.
func literal(value *hujson.Value) (hujson.Literal, byte) {
	lit, ok := value.Value.(hujson.Literal)
	if !ok {
		return nil, 0
	}
	return lit, byte(lit.Kind())
}

func (o *Object) stringValue(name string, value *hujson.Value) string {
	lit, kind := literal(value)
	if kind != '"' {
		o.Addf(name, "field %q must be a string", name)
		return ""
	}
	return lit.String()
}

// String reads a required string that must not be empty.
func (o *Object) String(name string) string {
	value := o.field(name, true)
	if value == nil {
		return ""
	}
	text := o.stringValue(name, value)
	if text == "" {
		o.Addf(name, "field %q must not be empty", name)
	}
	return text
}

// StringOr reads an optional string, with fallback as its default.
func (o *Object) StringOr(name, fallback string) string {
	value := o.field(name, false)
	if value == nil {
		return fallback
	}
	return o.stringValue(name, value)
}

// OneOf reads a required string that must be one of choices. It returns an empty
// string if it is missing or invalid.
func (o *Object) OneOf(name string, choices ...string) string {
	text := o.String(name)
	for _, choice := range choices {
		if text == choice {
			return text
		}
	}
	if text != "" {
		o.Addf(name, "field %q is %q and must be one of %q", name, text, choices)
	}
	return ""
}

// Int reads a required integer between low and high. It returns low if it is
// missing or invalid.
func (o *Object) Int(name string, low, high int64) int64 {
	value := o.field(name, true)
	if value == nil {
		return low
	}
	return o.intValue(name, value, low, high)
}

// IntOr reads an optional integer between low and high, with fallback as its
// default. It returns low if it is invalid.
func (o *Object) IntOr(name string, fallback, low, high int64) int64 {
	value := o.field(name, false)
	if value == nil {
		return fallback
	}
	return o.intValue(name, value, low, high)
}

func (o *Object) intValue(name string, value *hujson.Value, low, high int64) int64 {
	lit, kind := literal(value)
	if kind != '0' {
		o.Addf(name, "field %q must be a number", name)
		return low
	}
	number, err := strconv.ParseInt(string(lit), 10, 64)
	if err != nil {
		o.Addf(name, "field %q must be a whole number", name)
		return low
	}
	if number < low || number > high {
		o.Addf(name, "field %q is %d and must be between %d and %d", name, number, low, high)
		return low
	}
	return number
}

// BoolOr reads an optional boolean, with fallback as its default. It also
// returns fallback if it is invalid.
func (o *Object) BoolOr(name string, fallback bool) bool {
	value := o.field(name, false)
	if value == nil {
		return fallback
	}
	_, kind := literal(value)
	if kind != 't' && kind != 'f' {
		o.Addf(name, "field %q must be true or false", name)
		return fallback
	}
	return kind == 't'
}

// Object reads a required object. It returns nil if it is missing or invalid.
func (o *Object) Object(name string) *Object {
	value := o.field(name, true)
	if value == nil {
		return nil
	}
	return newObject(o.doc, value)
}

// ObjectOr reads an optional object. It returns nil if it is missing or invalid.
func (o *Object) ObjectOr(name string) *Object {
	value := o.field(name, false)
	if value == nil {
		return nil
	}
	return newObject(o.doc, value)
}

// array reads the elements of an optional array.
func (o *Object) array(name string) []hujson.Value {
	value := o.field(name, false)
	if value == nil {
		return nil
	}
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		o.Addf(name, "field %q must be an array", name)
		return nil
	}
	return array.Elements
}

// Objects reads an optional array of objects.
func (o *Object) Objects(name string) []*Object {
	var objects []*Object
	elements := o.array(name)
	for i := range elements {
		if object := newObject(o.doc, &elements[i]); object != nil {
			objects = append(objects, object)
		}
	}
	return objects
}

// Strings reads an optional array of strings.
func (o *Object) Strings(name string) []string {
	var values []string
	elements := o.array(name)
	for i := range elements {
		lit, kind := literal(&elements[i])
		if kind != '"' {
			o.doc.findings.Addf(o.doc.position(elements[i].StartOffset), "each element of %q must be a string", name)
			continue
		}
		values = append(values, lit.String())
	}
	return values
}

// Raw reads an optional field of any type as standard JSON without comments.
func (o *Object) Raw(name string) json.RawMessage {
	value := o.field(name, false)
	if value == nil {
		return nil
	}
	clone := value.Clone()
	clone.Standardize()
	clone.Minimize()
	return json.RawMessage(clone.Pack())
}
