package pollenquantile

import (
	"math"
	"time"
)

// Sketch counts latencies in buckets of equal ratio and forgets old ones by halving all counts.
//
// The zero value is ready to use. A Sketch is not safe for concurrent use.
type Sketch struct {
	counts [buckets]float32
	total  float32
}

const (
	// buckets of a ratio of 1.12 from lowest on span 0.2 ms to 9 minutes.
	buckets = 132
	ratio   = 1.12
	lowest  = 200 * time.Microsecond
	// halving is the number of samples after which all counts are halved, so that some 1,000 recent ones decide.
	halving = 1024
)

var logRatio = math.Log(ratio)

// Add counts one latency.
func (s *Sketch) Add(latency time.Duration) {
	s.counts[bucket(latency)]++
	s.total++
	if s.total < halving {
		return
	}
	for i := range s.counts {
		s.counts[i] /= 2
	}
	s.total /= 2
}

// Samples returns the number of latencies that the estimate rests on.
func (s *Sketch) Samples() int { return int(s.total) }

// Quantile returns about the latency below which the given share of samples lies, zero without samples.
func (s *Sketch) Quantile(share float64) time.Duration {
	if s.total == 0 {
		return 0
	}
	rest := float32(share) * s.total
	for i, count := range s.counts {
		rest -= count
		if rest <= 0 {
			return middle(i)
		}
	}
	return middle(buckets - 1)
}

func bucket(latency time.Duration) int {
	if latency <= lowest {
		return 0
	}
	i := int(math.Log(float64(latency)/float64(lowest)) / logRatio)
	return min(i+1, buckets-1)
}

// middle returns the geometric middle of a bucket.
func middle(i int) time.Duration {
	return time.Duration(float64(lowest) * math.Pow(ratio, float64(i)-0.5))
}
