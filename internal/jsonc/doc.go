// Package jsonc decodes JSON with comments into Go structs. Each error has its position in the file and says what was expected.
package jsonc
