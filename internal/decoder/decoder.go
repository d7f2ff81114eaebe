// Package decoder decodes JSON with comments into structs. It reports every unknown
// field, duplicate field and wrong type with file, line and column.
//
// Usage:
//
//	d := decoder.Decoder{File: "gent-a-1.jsonc"}
//	var s model.Settings
//	findings := d.Decode(data, &s)
//	if d.Decoded() {
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

// Decoder decodes one document. File is its name in the findings.
type Decoder struct {
	File string

	data     []byte
	tree     hujson.Value
	findings []model.Finding
	decoded  bool
}

// Decode decodes data into target, a pointer to a struct, and returns the findings.
// Without findings, target holds all of data.
func (d *Decoder) Decode(data []byte, target any) []model.Finding {
	d.data = data
	d.findings = nil
	d.decoded = false
	tree, err := hujson.Parse(data)
	if err != nil {
		return []model.Finding{{File: d.File, Line: 1, Column: 1, Message: err.Error()}}
	}
	d.tree = tree
	d.walk(tree, reflect.TypeOf(target).Elem(), "")
	standardJSON := tree.Clone()
	standardJSON.Standardize()
	err = json.Unmarshal(standardJSON.Pack(), target)
	d.decoded = err == nil
	if err != nil && len(d.findings) == 0 {
		d.addFinding("", tree.StartOffset, err.Error())
	}
	return d.findings
}

// Decoded reports whether the last Decode succeeded apart from unknown or duplicate
// fields, so that the values in its target can be checked as well.
func (d *Decoder) Decoded() bool {
	return d.decoded
}

// Locate adds file, line and column to findings that refer to a field.
func (d *Decoder) Locate(findings []model.Finding) []model.Finding {
	located := make([]model.Finding, 0, len(findings))
	for _, f := range findings {
		f.File = d.File
		f.Line, f.Column = d.position(d.offset(f.Field))
		located = append(located, f)
	}
	return located
}

// offset returns the byte offset of the field, or of the innermost enclosing value
// that exists.
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

// position returns the line and the column, in bytes, of an offset. Both are
// counted from 1.
func (d *Decoder) position(offset int) (line, column int) {
	before := d.data[:min(offset, len(d.data))]
	line = bytes.Count(before, []byte("\n")) + 1
	return line, offset - bytes.LastIndexByte(before, '\n')
}

func (d *Decoder) addFinding(field string, offset int, message string) {
	line, column := d.position(offset)
	d.findings = append(d.findings, model.Finding{
		File: d.File, Line: line, Column: column, Field: field, Message: message,
	})
}

// walk checks a value against the type that it is decoded into.
func (d *Decoder) walk(v hujson.Value, t reflect.Type, field string) {
	if t.Implements(unmarshaler) || reflect.PointerTo(t).Implements(unmarshaler) {
		d.checkValue(v, t, field)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		d.walkStruct(v, t, field)
	case reflect.Slice:
		d.walkSlice(v, t, field)
	default:
		d.checkValue(v, t, field)
	}
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

func (d *Decoder) walkStruct(v hujson.Value, t reflect.Type, field string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addFinding(field, v.StartOffset, "must be an object")
		return
	}
	fields := jsonFields(t)
	seen := make(map[string]bool)
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		pointer := field + "/" + name
		fieldType, known := fields[name]
		switch {
		case !known:
			d.addFinding(pointer, member.Name.StartOffset, "unknown field")
		case seen[name]:
			d.addFinding(pointer, member.Name.StartOffset, "duplicate field")
		default:
			d.walk(member.Value, fieldType, pointer)
		}
		seen[name] = true
	}
}

func (d *Decoder) walkSlice(v hujson.Value, t reflect.Type, field string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addFinding(field, v.StartOffset, "must be an array")
		return
	}
	for i, element := range array.Elements {
		d.walk(element, t.Elem(), field+"/"+strconv.Itoa(i))
	}
}

// checkValue reports the value if it cannot be decoded into the type.
func (d *Decoder) checkValue(v hujson.Value, t reflect.Type, field string) {
	standardJSON := v.Clone()
	standardJSON.Standardize()
	err := json.Unmarshal(standardJSON.Pack(), reflect.New(t).Interface())
	if err == nil {
		return
	}
	if typeErr, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		d.addFinding(field, v.StartOffset, fmt.Sprintf("must be of type %s, not %s", t.Kind(), typeErr.Value))
		return
	}
	d.addFinding(field, v.StartOffset, err.Error())
}

// jsonFields returns the types of the fields of a struct by their JSON names.
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
