package pollendrain

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// logNormal draws from a log-normal distribution with a mean and the standard deviation of the logarithm.
func logNormal(random *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

// Guards against planned stops that refuse what they could answer. Load pattern: idempotent requests of a heavy-tailed duration come over kept
// connections and by cached answers of the directory until the listener closes; each may wait for 15 s.
func TestStopRefusesFewIdempotentRequests(t *testing.T) {
	const (
		stops     = 300
		perSecond = 15
		sigma     = 0.9
	)
	tests := []struct {
		name string
		mean time.Duration
		// maxRefused is the share that instances without refusals at a stop left unserved, for want of capacity; maxLate bounds the
		// share that gets its final answer at the end of the stop.
		maxRefused, maxLate float64
	}{
		{"short", 220 * time.Millisecond, 1.0 / 2883, 0.01},
		{"medium", 500 * time.Millisecond, 2.0 / 2883, 0.03},
		{"long", 700 * time.Millisecond, 86.0 / 2883, 0.05},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(test.mean)))
			latencies := make([]time.Duration, 2000)
			for i := range latencies {
				latencies[i] = logNormal(random, test.mean, sigma)
			}
			slices.Sort(latencies)
			latency := latencies[int(LatencyQuantile(true)*float64(len(latencies)))]
			plan := NewPlan(time.Unix(1000, 0), 6*time.Second)
			requests, refused, late := 0, 0, 0
			for range stops {
				for now := plan.Begin; now.Before(plan.Close); now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond)) {
					requests++
					switch {
					case !plan.Takes(Request{Idempotent: true, End: now.Add(15 * time.Second), Latency: latency}, now):
						refused++
					case now.Add(logNormal(random, test.mean, sigma)).After(plan.LastAnswer):
						late++
					}
				}
			}
			t.Logf("%d requests, %d refused, %d answered at the end of the stop", requests, refused, late)
			qt.Check(t, float64(refused) <= test.maxRefused*float64(requests), qt.IsTrue, qt.Commentf("%d of %d refused", refused, requests))
			qt.Check(t, float64(late) <= test.maxLate*float64(requests), qt.IsTrue, qt.Commentf("%d of %d late", late, requests))
		})
	}
}
