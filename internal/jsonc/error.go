package jsonc

import (
	"fmt"
	"slices"
	"strings"
)

// Error is one thing wrong in a text; Line and Column count from one, columns in bytes.
type Error struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Path   string `json:"path"`
	Reason string `json:"reason"`
	Want   string `json:"want"`
}

// Error prints the mistake as file:line:column: path: reason; want.
func (m Error) Error() string {
	s := fmt.Sprintf("%s:%d:%d: ", m.File, m.Line, m.Column)
	if m.Path != "" {
		s += m.Path + ": "
	}
	s += m.Reason
	if m.Want != "" {
		s += "; " + m.Want
	}
	return s
}

// ErrorList is every mistake of a text, in the order of their positions.
type ErrorList []Error

// Error prints one mistake a line.
func (ms ErrorList) Error() string {
	ls := make([]string, 0, len(ms))
	for _, m := range ms {
		ls = append(ls, m.Error())
	}
	return strings.Join(ls, "\n")
}

// Document is a parsed text that remembers where each value stands.
type Document struct {
	file    string
	source  []byte
	offsets map[string]int
	errs    ErrorList
	// invalidSyntax says that the text is no JSON at all, so that nothing can be said about its values.
	invalidSyntax bool
}

// AddError notes that the value at path is wrong; a path without a value points at its nearest parent.
func (t *Document) AddError(path, reason, want string) {
	if t.invalidSyntax {
		return
	}
	t.addErrorAt(t.offsetOf(path), path, reason, want)
}

// Err returns all mistakes noted so far, or nil.
func (t *Document) Err() error {
	if len(t.errs) == 0 {
		return nil
	}
	ms := slices.Clone(t.errs)
	slices.SortStableFunc(ms, func(a, b Error) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return ms
}

func (t *Document) offsetOf(path string) int {
	for {
		if o, ok := t.offsets[path]; ok {
			return o
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return 0
		}
		path = path[:i]
	}
}

func (t *Document) addErrorAt(offset int, path, reason, want string) {
	head := t.source[:min(offset, len(t.source))]
	line := 1 + strings.Count(string(head), "\n")
	column := offset - strings.LastIndex(string(head), "\n")
	t.errs = append(t.errs, Error{
		File: t.file, Line: line, Column: column, Path: path, Reason: reason, Want: want,
	})
}

// Nearest returns the candidate closest to a misspelt word, or "" if none is close.
func Nearest(word string, candidates []string) string {
	best, limit := "", 1+len(word)/3
	for _, c := range candidates {
		if d := distance(word, c); d <= limit {
			best, limit = c, d-1
		}
	}
	return best
}

// distance is the Levenshtein distance of two short words.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for i := range row {
		row[i] = i
	}
	for i := range len(a) {
		corner := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := corner
			if a[i] != b[j] {
				cost++
			}
			corner = row[j+1]
			row[j+1] = min(cost, row[j]+1, corner+1)
		}
	}
	return row[len(b)]
}
