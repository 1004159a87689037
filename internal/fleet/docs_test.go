package fleet

import (
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/dispatcher"
	"buckthornport.example/buckthornport/internal/operator"
)

// TestEventsAreDocumented checks that the operators' page names every record kind and cause that nodes log.
func TestEventsAreDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	for _, k := range operator.Kinds() {
		c.Check(string(page), qt.Contains, "`"+string(k)+"`")
	}
	for _, cause := range slices.Concat(caller.Causes(), dispatcher.Causes()) {
		c.Check(string(page), qt.Contains, "`"+cause+"`")
	}
}
