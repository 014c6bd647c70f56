package pollenquantile

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Estimates must be within 15 % of the exact quantiles.
func TestQuantileOfKnownDistributions(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	tests := []struct {
		name    string
		latency func() time.Duration
	}{
		{"constant", func() time.Duration { return 15 * time.Millisecond }},
		{"uniform", func() time.Duration { return time.Duration(random.Int64N(int64(100 * time.Millisecond))) }},
		{"long tail", func() time.Duration { return time.Duration(random.ExpFloat64() * float64(20*time.Millisecond)) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var s Sketch
			var all []time.Duration
			for range 1000 {
				latency := test.latency()
				s.Add(latency)
				all = append(all, latency)
			}
			slices.Sort(all)
			for _, quantile := range []float64{0.5, 0.95} {
				exact := float64(all[int(quantile*float64(len(all)))])
				got := float64(s.Quantile(quantile))
				c.Assert(got > exact/1.15 && got < exact*1.15, qt.IsTrue, qt.Commentf("quantile %v: %v instead of %v", quantile, got, exact))
			}
		})
	}
}

// Old samples must lose their influence after latencies change, and the number of samples must stay bounded.
func TestOldSamplesDecay(t *testing.T) {
	c := qt.New(t)
	var s Sketch
	c.Assert(s.Quantile(0.5), qt.Equals, time.Duration(0))
	for range 5000 {
		s.Add(10 * time.Millisecond)
	}
	for range 2 * decaySamples {
		s.Add(80 * time.Millisecond)
	}
	c.Assert(s.Quantile(0.5) > 70*time.Millisecond, qt.IsTrue)
	c.Assert(s.Samples() <= decaySamples, qt.IsTrue)
}
