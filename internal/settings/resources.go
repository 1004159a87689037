package settings

import (
	"cmp"
	"fmt"

	"buckthornport.example/buckthornport/internal/jsonc"
)

const (
	// DefaultMemoryMB is the memory of the smallest machine that nodes run on.
	DefaultMemoryMB = 160
	// minMemoryMB leaves room for a few messages of the largest size beside the program itself.
	minMemoryMB = 48
	// minFDs leaves room for some callers beside the descriptors that are reserved for files and for other connections.
	minFDs = 300
)

// Memory returns the memory of the machine in MB.
func (f FleetNode) Memory() int {
	return cmp.Or(f.MemoryMB, DefaultMemoryMB)
}

// Memory returns the memory of the machine in MB.
func (p Proxy) Memory() int {
	return cmp.Or(p.MemoryMB, DefaultMemoryMB)
}

// checkResources checks the memory and the descriptors of the process. A memory of 0 stands for DefaultMemoryMB, and a number of
// descriptors of 0 for the limit that the operating system sets.
func checkResources(d *jsonc.Document, memoryMB, maxFDs int) {
	if memoryMB != 0 && memoryMB < minMemoryMB {
		d.AddError("memory_mb", "is too small", fmt.Sprintf("want 0 for %d MB, or at least %d MB", DefaultMemoryMB, minMemoryMB))
	}
	if maxFDs != 0 && maxFDs < minFDs {
		d.AddError("max_fds", "is too small", fmt.Sprintf("want 0 for the limit of the operating system, or at least %d", minFDs))
	}
}
