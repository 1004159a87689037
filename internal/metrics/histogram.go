package metrics

import "time"

// BucketBoundsMS are the upper bounds of a histogram's buckets in ms. They cover the range from one network hop to the longest
// time that a caller waits, and mostly double from bound to bound.
var BucketBoundsMS = [...]int{5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200}

// Histogram counts durations by bucket. The last bucket counts the durations above all bounds. A Histogram is immutable.
type Histogram struct {
	Buckets [len(BucketBoundsMS) + 1]uint64 `json:"buckets"`
	Sum     time.Duration                   `json:"sum_ns"`
	Count   uint64                          `json:"count"`
}

// WithSample returns the histogram with one duration added.
func (h Histogram) WithSample(d time.Duration) Histogram {
	i := 0
	for i < len(BucketBoundsMS) && d > time.Duration(BucketBoundsMS[i])*time.Millisecond {
		i++
	}
	h.Buckets[i]++
	h.Sum += d
	h.Count++
	return h
}
