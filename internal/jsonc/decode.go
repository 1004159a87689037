package jsonc

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode reads a text into the struct that into points to; field names are those of the json tags. The Text is returned
// for further checks even when Err already holds mistakes.
func Decode(file string, source []byte, into any) *Document {
	t := &Document{file: file, source: source, offsets: map[string]int{}}
	var v hujson.Value
	var err error
	if v, err = hujson.Parse(source); err != nil {
		t.addSyntaxError(err)
		return t
	}
	t.decodeValue("", v, reflect.ValueOf(into).Elem())
	return t
}

// addSyntaxError takes the position out of the library's message, whose error type keeps it to itself.
func (t *Document) addSyntaxError(err error) {
	m := Error{File: t.file, Line: 1, Column: 1, Reason: strings.TrimPrefix(err.Error(), "hujson: ")}
	if _, scanErr := fmt.Sscanf(m.Reason, "line %d, column %d:", &m.Line, &m.Column); scanErr == nil {
		_, m.Reason, _ = strings.Cut(m.Reason, ": ")
	}
	m.Want = "want JSON, in which comments and trailing commas are allowed"
	t.errs = append(t.errs, m)
	t.invalidSyntax = true
}

func (t *Document) decodeValue(path string, v hujson.Value, into reflect.Value) {
	t.offsets[path] = v.StartOffset
	switch into.Kind() {
	case reflect.Struct:
		t.decodeObject(path, v, into)
	case reflect.Slice:
		t.decodeArray(path, v, into)
	default:
		t.decodeScalar(path, v, into)
	}
}

func (t *Document) decodeObject(path string, v hujson.Value, into reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		t.addErrorAt(v.StartOffset, path, "is not an object", "want { … }")
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
			t.addErrorAt(m.Name.StartOffset, at, "unknown key", suggestKey(name, fs))
		case seen[name]:
			t.addErrorAt(m.Name.StartOffset, at, "key given twice", "keep one of them")
		default:
			t.decodeValue(at, m.Value, into.Field(i))
		}
		seen[name] = true
	}
}

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

func (t *Document) decodeArray(path string, v hujson.Value, into reflect.Value) {
	if l, ok := v.Value.(hujson.Literal); ok && string(l) == "null" {
		return
	}
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		t.addErrorAt(v.StartOffset, path, "is not a list", "want [ … ]")
		return
	}
	s := reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements))
	for i, e := range a.Elements {
		t.decodeValue(fmt.Sprintf("%s[%d]", path, i), e, s.Index(i))
	}
	into.Set(s)
}

func (t *Document) decodeScalar(path string, v hujson.Value, into reflect.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok {
		t.addErrorAt(v.StartOffset, path, "is not a single value", "want "+expectedKind(into))
		return
	}
	if err := json.Unmarshal(l, into.Addr().Interface()); err != nil {
		var wrong *json.UnmarshalTypeError
		reason := err.Error()
		if errors.As(err, &wrong) {
			reason = "is a " + wrong.Value
		}
		t.addErrorAt(v.StartOffset, path, reason, "want "+expectedKind(into))
	}
}

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
