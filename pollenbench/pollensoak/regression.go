package pollensoak

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed testdata/regressions.json
var regressionData []byte

// Regression records a seed that once broke a promise, with the cause.
type Regression struct {
	Seed    uint64
	Promise string
	Cause   string
}

// Regressions returns the recorded regressions.
func Regressions() ([]Regression, error) {
	var regressions []Regression
	if err := json.Unmarshal(regressionData, &regressions); err != nil {
		return nil, fmt.Errorf("decode regressions.json: %w", err)
	}
	return regressions, nil
}
