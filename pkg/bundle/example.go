package bundle

import "embed"

//go:embed examples/*.jsonc
var exampleFiles embed.FS

// Example returns the text of the example bundle mvule or market, or nil for any other name.
func Example(name string) []byte {
	b, err := exampleFiles.ReadFile("examples/" + name + ".jsonc")
	if err != nil {
		return nil
	}
	return b
}
