package pollenquantile

import (
	"math"
	"time"
)

// Sketch is a histogram of latencies with logarithmic buckets, in which the weight of old samples decays.
//
// The zero value is ready to use. A Sketch is not safe for concurrent use.
type Sketch struct {
	counts  [bucketCount]float32
	samples float32
}

const (
	// The buckets span 0.2 ms to 9 minutes: minLatency is the upper bound of the first one, and each further one's upper
	// bound is bucketRatio times that of the one before.
	bucketCount = 132
	bucketRatio = 1.12
	minLatency  = 200 * time.Microsecond
	// decaySamples is the number of samples at which all counts are halved, so that about the last 1,000 samples
	// determine the quantiles.
	decaySamples = 1024
)

var logRatio = math.Log(bucketRatio)

// Add adds one latency to the histogram.
func (s *Sketch) Add(latency time.Duration) {
	s.counts[bucketIndex(latency)]++
	s.samples++
	if s.samples < decaySamples {
		return
	}
	for i := range s.counts {
		s.counts[i] /= 2
	}
	s.samples /= 2
}

// Samples returns the sum of the decayed counts, at most decaySamples.
func (s *Sketch) Samples() int { return int(s.samples) }

// Quantile returns an estimate of a quantile, between 0 and 1, of the latencies; zero without samples.
func (s *Sketch) Quantile(quantile float64) time.Duration {
	if s.samples == 0 {
		return 0
	}
	remaining := float32(quantile) * s.samples
	for i, count := range s.counts {
		remaining -= count
		if remaining <= 0 {
			return bucketMidpoint(i)
		}
	}
	return bucketMidpoint(bucketCount - 1)
}

// bucketIndex returns the bucket that a latency belongs to; the last one also holds all longer latencies.
func bucketIndex(latency time.Duration) int {
	if latency <= minLatency {
		return 0
	}
	i := int(math.Log(float64(latency)/float64(minLatency)) / logRatio)
	return min(i+1, bucketCount-1)
}

// bucketMidpoint returns the geometric mean of a bucket's bounds.
func bucketMidpoint(i int) time.Duration {
	return time.Duration(float64(minLatency) * math.Pow(bucketRatio, float64(i)-0.5))
}
