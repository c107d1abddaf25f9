// Package jsonc reads JSON with comments into Go values by hand-written mappings
// and reports everything that is wrong with a text, with line and column.
//
// A mapping asks an Object for each of its fields and closes it at the end;
// fields nobody asked for are findings. Reading goes on after a finding, with
// the zero value in place of what was wrong, so that one pass finds all.
package jsonc

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"github.com/lentilstand/lentilstand/pkg/diag"
)

// MaxDepth bounds how deeply arrays and objects may nest in a text.
const MaxDepth = 64

// document is a parsed text with what is needed to compute places.
type document struct {
	file     string
	data     []byte
	findings *diag.List
}

func (d *document) place(offset int) diag.Position {
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

// Parse reads a text whose outermost value is an object. It returns nil if the
// text can't be read as one; what is wrong is then in findings.
func Parse(file string, data []byte, findings *diag.List) *Object {
	doc := &document{file: file, data: data, findings: findings}
	if !utf8.Valid(data) {
		findings.Addf(doc.place(0), "the text is not valid UTF-8")
		return nil
	}
	if offset, ok := tooDeep(data); ok {
		findings.Addf(doc.place(offset), "values nest deeper than %d levels", MaxDepth)
		return nil
	}
	value, err := hujson.Parse(data)
	if err != nil {
		findings.Addf(diag.NewPosition(file, 0, 0), "%v", err)
		return nil
	}
	return newObject(doc, &value)
}

// tooDeep reports the offset at which brackets nest deeper than MaxDepth. It
// counts brackets in strings and comments too, which errs on the safe side for
// texts that nobody writes.
func tooDeep(data []byte) (int, bool) {
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

// Object is a JSON object whose fields are read one by one.
type Object struct {
	doc    *document
	start  int
	fields map[string]*hujson.Value
	order  []string
	used   map[string]bool
}

func newObject(doc *document, value *hujson.Value) *Object {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		doc.findings.Addf(doc.place(value.StartOffset), "must be an object")
		return nil
	}
	o := &Object{
		doc:    doc,
		start:  value.StartOffset,
		fields: make(map[string]*hujson.Value, len(object.Members)),
		used:   make(map[string]bool, len(object.Members)),
	}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		if _, twice := o.fields[name]; twice {
			doc.findings.Addf(doc.place(member.Name.StartOffset), "field %q is given twice", name)
			continue
		}
		o.fields[name] = &member.Value
		o.order = append(o.order, name)
	}
	return o
}

// Position returns where the object starts.
func (o *Object) Position() diag.Position { return o.doc.place(o.start) }

// FieldPosition returns where the value of a field starts, or the object's own
// place if it has no such field.
func (o *Object) FieldPosition(name string) diag.Position {
	if value, ok := o.fields[name]; ok {
		return o.doc.place(value.StartOffset)
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

// RejectUnknown reports each field that nobody asked for.
func (o *Object) RejectUnknown() {
	for _, name := range o.order {
		if !o.used[name] {
			o.Addf(name, "unknown field %q", name)
		}
	}
}

// take returns the value of a field and marks the field as read.
func (o *Object) take(name string, required bool) *hujson.Value {
	o.used[name] = true
	value, ok := o.fields[name]
	if !ok && required {
		o.doc.findings.Addf(o.Position(), "field %q is missing", name)
	}
	return value
}

func literal(value *hujson.Value) (hujson.Literal, byte) {
	lit, ok := value.Value.(hujson.Literal)
	if !ok {
		return nil, 0
	}
	return lit, byte(lit.Kind())
}

func (o *Object) text(name string, value *hujson.Value) string {
	lit, kind := literal(value)
	if kind != '"' {
		o.Addf(name, "field %q must be a string", name)
		return ""
	}
	return lit.String()
}

// String returns a required string that must not be empty.
func (o *Object) String(name string) string {
	value := o.take(name, true)
	if value == nil {
		return ""
	}
	text := o.text(name, value)
	if text == "" {
		o.Addf(name, "field %q must not be empty", name)
	}
	return text
}

// StringOr returns an optional string, or fallback where it isn't given.
func (o *Object) StringOr(name, fallback string) string {
	value := o.take(name, false)
	if value == nil {
		return fallback
	}
	return o.text(name, value)
}

// OneOf returns a required string that must be one of choices.
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

// Int returns a required whole number between low and high.
func (o *Object) Int(name string, low, high int64) int64 {
	value := o.take(name, true)
	if value == nil {
		return low
	}
	return o.number(name, value, low, high)
}

// IntOr returns an optional whole number between low and high, or fallback
// where it isn't given.
func (o *Object) IntOr(name string, fallback, low, high int64) int64 {
	value := o.take(name, false)
	if value == nil {
		return fallback
	}
	return o.number(name, value, low, high)
}

func (o *Object) number(name string, value *hujson.Value, low, high int64) int64 {
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

// BoolOr returns an optional truth value, or fallback where it isn't given.
func (o *Object) BoolOr(name string, fallback bool) bool {
	value := o.take(name, false)
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

// Object returns a required object field, or nil if there is none.
func (o *Object) Object(name string) *Object {
	value := o.take(name, true)
	if value == nil {
		return nil
	}
	return newObject(o.doc, value)
}

// ObjectOr returns an optional object field, or nil if there is none.
func (o *Object) ObjectOr(name string) *Object {
	value := o.take(name, false)
	if value == nil {
		return nil
	}
	return newObject(o.doc, value)
}

// array returns the elements of an optional array field.
func (o *Object) array(name string) []hujson.Value {
	value := o.take(name, false)
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

// Objects returns the objects of an optional array field.
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

// Strings returns the strings of an optional array field.
func (o *Object) Strings(name string) []string {
	var texts []string
	elements := o.array(name)
	for i := range elements {
		lit, kind := literal(&elements[i])
		if kind != '"' {
			o.doc.findings.Addf(o.doc.place(elements[i].StartOffset), "each element of %q must be a string", name)
			continue
		}
		texts = append(texts, lit.String())
	}
	return texts
}

// Raw returns an optional field as plain JSON without comments.
func (o *Object) Raw(name string) json.RawMessage {
	value := o.take(name, false)
	if value == nil {
		return nil
	}
	clone := value.Clone()
	clone.Standardize()
	clone.Minimize()
	return json.RawMessage(clone.Pack())
}
