package metrics

import "time"

// Bounds are the upper ends of a histogram's buckets in ms, doubling from what one hop takes to what a caller waits at most.
var Bounds = [...]int{5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200}

// Histogram counts durations by bucket; the last bucket holds what exceeds every bound.
type Histogram struct {
	Buckets [len(Bounds) + 1]uint64 `json:"buckets"`
	Sum     time.Duration           `json:"sum_ns"`
	Count   uint64                  `json:"count"`
}

// WithSample returns the histogram with one more duration.
func (h Histogram) WithSample(d time.Duration) Histogram {
	i := 0
	for i < len(Bounds) && d > time.Duration(Bounds[i])*time.Millisecond {
		i++
	}
	h.Buckets[i]++
	h.Sum += d
	h.Count++
	return h
}
