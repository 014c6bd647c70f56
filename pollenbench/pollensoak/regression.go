package pollensoak

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"time"
)

//go:embed testdata/regressions.json
var regressionData []byte

// Regression records a seed that once broke a promise, with the cause.
type Regression struct {
	Seed    uint64
	Promise string
	Cause   string
	// FaultKindCount is the number of kinds of faults that there were; zero if FaultKinds names them, and with LoadStops.
	FaultKindCount int
	FaultKinds     []string
	// Load is LoadStops for a run of planned stops, whose mean work takes WorkMillis; empty for others.
	Load        string
	WorkMillis  int
	SlowServers bool
}

// Config returns the configuration with the seed, the load and the kinds of faults of the regression.
func (r Regression) Config(config Config) Config {
	config.Seed, config.FaultKinds = r.Seed, r.FaultKinds
	config.Load, config.SlowServers = r.Load, r.SlowServers
	if r.WorkMillis > 0 {
		config.MeanWork = time.Duration(r.WorkMillis) * time.Millisecond
	}
	for _, f := range faultKinds[:r.FaultKindCount] {
		config.FaultKinds = append(config.FaultKinds, f.name)
	}
	return config
}

// Regressions returns the recorded regressions.
func Regressions() ([]Regression, error) {
	var regressions []Regression
	if err := json.Unmarshal(regressionData, &regressions); err != nil {
		return nil, fmt.Errorf("decode regressions.json: %w", err)
	}
	return regressions, nil
}
