package jsonc

import (
	"fmt"
	"slices"
	"strings"
)

// Error is one error in a file. Line and Column start at 1, and columns count bytes. Want says what was expected.
type Error struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Path   string `json:"path"`
	Reason string `json:"reason"`
	Want   string `json:"want"`
}

// Error returns "file:line:column: path: reason; want". An empty path or want is left out.
func (e Error) Error() string {
	s := fmt.Sprintf("%s:%d:%d: ", e.File, e.Line, e.Column)
	if e.Path != "" {
		s += e.Path + ": "
	}
	s += e.Reason
	if e.Want != "" {
		s += "; " + e.Want
	}
	return s
}

// ErrorList holds the errors of a file, sorted by position.
type ErrorList []Error

// Error returns all errors, one per line.
func (es ErrorList) Error() string {
	lines := make([]string, 0, len(es))
	for _, e := range es {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}

// Document is a decoded file. It records the offset of each value, and collects the errors of the file.
type Document struct {
	file    string
	source  []byte
	offsets map[string]int
	errs    ErrorList
	// invalidSyntax is set if the file is not valid JSON. Its values are then unknown, so AddError adds no errors about them.
	invalidSyntax bool
}

// AddError adds an error about the value at path. If the path has no value, the position is that of its nearest parent.
func (d *Document) AddError(path, reason, want string) {
	if d.invalidSyntax {
		return
	}
	d.addErrorAt(d.offsetOf(path), path, reason, want)
}

// Err returns the errors added so far as an ErrorList, or nil.
func (d *Document) Err() error {
	if len(d.errs) == 0 {
		return nil
	}
	es := slices.Clone(d.errs)
	slices.SortStableFunc(es, func(a, b Error) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return es
}

func (d *Document) offsetOf(path string) int {
	for {
		if o, ok := d.offsets[path]; ok {
			return o
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return 0
		}
		path = path[:i]
	}
}

func (d *Document) addErrorAt(offset int, path, reason, want string) {
	before := d.source[:min(offset, len(d.source))]
	line := 1 + strings.Count(string(before), "\n")
	column := offset - strings.LastIndex(string(before), "\n")
	d.errs = append(d.errs, Error{
		File: d.file, Line: line, Column: column, Path: path, Reason: reason, Want: want,
	})
}

// Nearest returns the candidate closest to a misspelt word, or "" if none is close enough.
func Nearest(word string, candidates []string) string {
	best, limit := "", 1+len(word)/3
	for _, c := range candidates {
		if d := distance(word, c); d <= limit {
			best, limit = c, d-1
		}
	}
	return best
}

// distance returns the Levenshtein distance between two short words.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for i := range row {
		row[i] = i
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
