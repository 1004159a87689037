package bundle

import "embed"

//go:embed examples/*.jsonc
var exampleFiles embed.FS

// Example returns the named example bundle as text, or nothing if there is none; there are mvule and market.
func Example(name string) []byte {
	b, err := exampleFiles.ReadFile("examples/" + name + ".jsonc")
	if err != nil {
		return nil
	}
	return b
}
