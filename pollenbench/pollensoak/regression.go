package pollensoak

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed testdata/regressions.json
var regressionData []byte

// Regression is a seed that has broken a promise once, with the cause.
type Regression struct {
	Seed    uint64
	Promise string
	Cause   string
}

// Regressions returns the seeds that have broken a promise, as recorded.
func Regressions() ([]Regression, error) {
	var regressions []Regression
	if err := json.Unmarshal(regressionData, &regressions); err != nil {
		return nil, fmt.Errorf("regressions: %w", err)
	}
	return regressions, nil
}
