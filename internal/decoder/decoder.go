// Package decoder reads JSON with comments into structs and reports every
// unknown field and wrong type with file, line and column.
//
// Usage:
//
//	d := decoder.Decoder{File: "gent-a-1.jsonc"}
//	var s model.Settings
//	findings := d.Decode(data, &s)
//	if d.Filled() {
//		findings = append(findings, d.Locate(check(s))...)
//	}
package decoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/yuccathread/yuccathread/internal/model"
)

// Decoder reads one document. File names it in findings.
type Decoder struct {
	File string

	data     []byte
	tree     hujson.Value
	findings []model.Finding
	filled   bool
}

// Decode fills target, a pointer to a struct, and returns what is wrong. Where
// nothing is found, target is complete.
func (d *Decoder) Decode(data []byte, target any) []model.Finding {
	d.data = data
	d.findings = nil
	d.filled = false
	tree, err := hujson.Parse(data)
	if err != nil {
		return []model.Finding{{File: d.File, Line: 1, Column: 1, Message: err.Error()}}
	}
	d.tree = tree
	d.walk(tree, reflect.TypeOf(target).Elem(), "")
	standard := tree.Clone()
	standard.Standardize()
	err = json.Unmarshal(standard.Pack(), target)
	d.filled = err == nil
	if err != nil && len(d.findings) == 0 {
		d.add("", tree.StartOffset, err.Error())
	}
	return d.findings
}

// Filled reports whether the last Decode filled its target, unknown fields left
// aside, so that its content can be checked too.
func (d *Decoder) Filled() bool {
	return d.filled
}

// Locate adds file, line and column to findings that name a field.
func (d *Decoder) Locate(findings []model.Finding) []model.Finding {
	located := make([]model.Finding, 0, len(findings))
	for _, f := range findings {
		f.File = d.File
		f.Line, f.Column = d.place(d.offset(f.Field))
		located = append(located, f)
	}
	return located
}

// offset finds the field, or the nearest one around it.
func (d *Decoder) offset(pointer string) int {
	for {
		if v := d.tree.Find(pointer); v != nil {
			return v.StartOffset
		}
		i := strings.LastIndexByte(pointer, '/')
		if i < 0 {
			return 0
		}
		pointer = pointer[:i]
	}
}

func (d *Decoder) place(offset int) (line, column int) {
	before := d.data[:min(offset, len(d.data))]
	line = bytes.Count(before, []byte("\n")) + 1
	return line, offset - bytes.LastIndexByte(before, '\n')
}

func (d *Decoder) add(field string, offset int, message string) {
	line, column := d.place(offset)
	d.findings = append(d.findings, model.Finding{
		File: d.File, Line: line, Column: column, Field: field, Message: message,
	})
}

// walk compares a value with the type that it is read into.
func (d *Decoder) walk(v hujson.Value, t reflect.Type, field string) {
	if t.Implements(unmarshaler) || reflect.PointerTo(t).Implements(unmarshaler) {
		d.try(v, t, field)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		d.walkStruct(v, t, field)
	case reflect.Slice:
		d.walkSlice(v, t, field)
	default:
		d.try(v, t, field)
	}
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

func (d *Decoder) walkStruct(v hujson.Value, t reflect.Type, field string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.add(field, v.StartOffset, "must be an object")
		return
	}
	fields := jsonFields(t)
	seen := make(map[string]bool)
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		place := field + "/" + name
		fieldType, known := fields[name]
		switch {
		case !known:
			d.add(place, m.Name.StartOffset, "unknown field")
		case seen[name]:
			d.add(place, m.Name.StartOffset, "given twice")
		default:
			d.walk(m.Value, fieldType, place)
		}
		seen[name] = true
	}
}

func (d *Decoder) walkSlice(v hujson.Value, t reflect.Type, field string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.add(field, v.StartOffset, "must be an array")
		return
	}
	for i, e := range array.Elements {
		d.walk(e, t.Elem(), field+"/"+strconv.Itoa(i))
	}
}

// try reads a single value to see whether its type fits.
func (d *Decoder) try(v hujson.Value, t reflect.Type, field string) {
	standard := v.Clone()
	standard.Standardize()
	err := json.Unmarshal(standard.Pack(), reflect.New(t).Interface())
	if err == nil {
		return
	}
	if wrong, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		d.add(field, v.StartOffset, fmt.Sprintf("must be of type %s, not %s", t.Kind(), wrong.Value))
		return
	}
	d.add(field, v.StartOffset, err.Error())
}

// jsonFields lists the fields of a struct by their names in JSON.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for f := range t.Fields() {
		if f.Anonymous && f.Tag.Get("json") == "" {
			maps.Copy(fields, jsonFields(f.Type))
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = f.Type
		}
	}
	return fields
}
