package jsonc

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode decodes source into the struct that into points to. Keys match the json tags of the fields. The returned Document
// holds the errors found so far, and accepts further ones from validation.
func Decode(file string, source []byte, into any) *Document {
	d := &Document{file: file, source: source, offsets: map[string]int{}}
	var v hujson.Value
	var err error
	if v, err = hujson.Parse(source); err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.decodeValue("", v, reflect.ValueOf(into).Elem())
	return d
}

// addSyntaxError adds an error of the hujson parser. It parses the position from the message, as the parser's error type does
// not export it.
func (d *Document) addSyntaxError(err error) {
	e := Error{File: d.file, Line: 1, Column: 1, Reason: strings.TrimPrefix(err.Error(), "hujson: ")}
	if _, scanErr := fmt.Sscanf(e.Reason, "line %d, column %d:", &e.Line, &e.Column); scanErr == nil {
		_, e.Reason, _ = strings.Cut(e.Reason, ": ")
	}
	e.Want = "want JSON, in which comments and trailing commas are allowed"
	d.errs = append(d.errs, e)
	d.invalidSyntax = true
}

func (d *Document) decodeValue(path string, v hujson.Value, into reflect.Value) {
	d.offsets[path] = v.StartOffset
	switch into.Kind() {
	case reflect.Struct:
		d.decodeObject(path, v, into)
	case reflect.Slice:
		d.decodeArray(path, v, into)
	default:
		d.decodeScalar(path, v, into)
	}
}

func (d *Document) decodeObject(path string, v hujson.Value, into reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addErrorAt(v.StartOffset, path, "is not an object", "want { … }")
		return
	}
	fs := fieldIndexes(into.Type())
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := joinPath(path, name)
		i, known := fs[name]
		switch {
		case !known:
			d.addErrorAt(m.Name.StartOffset, at, "unknown key", suggestKey(name, fs))
		case seen[name]:
			d.addErrorAt(m.Name.StartOffset, at, "key given twice", "keep one of them")
		default:
			d.decodeValue(at, m.Value, into.Field(i))
		}
		seen[name] = true
	}
}

// suggestKey returns a hint that names the closest known key, or advises to remove the unknown one.
func suggestKey(name string, fs map[string]int) string {
	names := make([]string, 0, len(fs))
	for n := range fs {
		names = append(names, n)
	}
	if n := Nearest(name, names); n != "" {
		return fmt.Sprintf("did you mean %q?", n)
	}
	return "remove it"
}

func (d *Document) decodeArray(path string, v hujson.Value, into reflect.Value) {
	if l, ok := v.Value.(hujson.Literal); ok && string(l) == "null" {
		return
	}
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addErrorAt(v.StartOffset, path, "is not a list", "want [ … ]")
		return
	}
	s := reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements))
	for i, e := range a.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), e, s.Index(i))
	}
	into.Set(s)
}

func (d *Document) decodeScalar(path string, v hujson.Value, into reflect.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok {
		d.addErrorAt(v.StartOffset, path, "is not a single value", "want "+expectedKind(into))
		return
	}
	if err := json.Unmarshal(l, into.Addr().Interface()); err != nil {
		var typeErr *json.UnmarshalTypeError
		reason := err.Error()
		if errors.As(err, &typeErr) {
			reason = "is a " + typeErr.Value
		}
		d.addErrorAt(v.StartOffset, path, reason, "want "+expectedKind(into))
	}
}

// expectedKind describes the values that a field accepts.
func expectedKind(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "a whole number of at least 0"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	default:
		return "a number"
	}
}

// fieldIndexes maps the JSON name of each field of a struct to its index.
func fieldIndexes(t reflect.Type) map[string]int {
	fs := map[string]int{}
	for i := range t.NumField() {
		if name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ","); name != "" && name != "-" {
			fs[name] = i
		}
	}
	return fs
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
