package pollenrollout

import (
	"encoding/json"
	"fmt"
	"strings"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenstore"
)

// StatePrefix is the prefix of the keys that hold the states of rollouts, by service.
const StatePrefix = "pollenline/rollouts/"

// DecodeState returns the state of a rollout that a key holds.
func DecodeState(entry pollenstore.Entry) (*pollencatalog.RolloutState, error) {
	state := &pollencatalog.RolloutState{}
	if err := json.Unmarshal(entry.Value, state); err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	state.Service, state.Revision = strings.TrimPrefix(entry.Key, StatePrefix), entry.Version
	return state, nil
}
