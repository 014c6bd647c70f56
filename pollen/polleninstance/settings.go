package polleninstance

import (
	"fmt"
	"net/netip"

	"pollenline.example/pollen/pollenquery"
	"pollenline.example/pollen/pollensettings"
)

// Settings are the settings of an entry instance.
type Settings struct {
	// Name is the instance's, unique among all instances.
	Name string
	// Zone is the availability zone that the instance stands in.
	Zone string
	// CallerAddress is served to callers, OperatorAddress to operators and PeerAddress to other instances.
	CallerAddress   netip.AddrPort
	OperatorAddress netip.AddrPort
	PeerAddress     netip.AddrPort
	// StoreAddress is that of the platform's key-value service.
	StoreAddress netip.AddrPort
	// InventoryAddress is that of the platform's list of instances, if it is to be asked for seeds.
	InventoryAddress netip.AddrPort
	// SeedAddresses are peer addresses to ask when the store is down at the start.
	SeedAddresses []netip.AddrPort
	// StoreTimeout bounds one call to the store.
	StoreTimeout pollensettings.Duration
	// RememberedRequests bounds the requests that are remembered so that none runs twice.
	RememberedRequests int
	// HedgeShare is the most hedges for each sub-query that is needed.
	HedgeShare float64
	// Baseline replaces the policy for measurements: empty, or "Naive".
	Baseline string
}

// BaselineNaive sends directly to random replicas, without owners, limits, hedges or memory.
const BaselineNaive = "Naive"

// DefaultSettings returns the settings that a file need not name.
func DefaultSettings() *Settings {
	return &Settings{
		StoreTimeout:       pollensettings.Duration(defaultStoreTimeout),
		RememberedRequests: defaultRememberedRequests,
		HedgeShare:         pollenquery.DefaultPolicy().HedgeShare,
	}
}

// Check returns a *pollensettings.FieldError for the first wrong value.
func (s *Settings) Check() error {
	checks := []error{
		pollensettings.RequireText("Name", s.Name),
		pollensettings.RequireText("Zone", s.Zone),
		pollensettings.RequireAddress("CallerAddress", s.CallerAddress),
		pollensettings.RequireAddress("OperatorAddress", s.OperatorAddress),
		pollensettings.RequireAddress("PeerAddress", s.PeerAddress),
		pollensettings.RequireAddress("StoreAddress", s.StoreAddress),
		pollensettings.RequirePositive("StoreTimeout", s.StoreTimeout),
	}
	for n, address := range s.SeedAddresses {
		checks = append(checks, pollensettings.RequireAddress(fmt.Sprintf("SeedAddresses[%d]", n), address))
	}
	if s.RememberedRequests < 1 {
		checks = append(checks, &pollensettings.FieldError{Field: "RememberedRequests", Problem: "want at least 1"})
	}
	if s.HedgeShare < 0 || s.HedgeShare > 1 {
		checks = append(checks, &pollensettings.FieldError{Field: "HedgeShare", Problem: "want 0 to 1"})
	}
	if s.Baseline != "" && s.Baseline != BaselineNaive {
		checks = append(checks, &pollensettings.FieldError{Field: "Baseline", Problem: "want nothing or \"Naive\""})
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}
