package polleninstance

import (
	"fmt"
	"net/netip"

	"pollenline.example/pollen/pollenquery"
	"pollenline.example/pollen/pollensettings"
)

// Settings holds the settings of an entry instance.
type Settings struct {
	// Name is the instance's name, unique among all instances.
	Name string
	// Zone is the availability zone in which the instance runs.
	Zone string
	// The instance listens for callers, operators and other instances on these addresses.
	CallerAddress   netip.AddrPort
	OperatorAddress netip.AddrPort
	PeerAddress     netip.AddrPort
	// StoreAddress is the address of the platform's key-value service.
	StoreAddress netip.AddrPort
	// InventoryAddress is the address of the platform's instance inventory, which supplies further seeds if set.
	InventoryAddress netip.AddrPort
	// SeedAddresses holds the peer addresses to contact if the store is down at startup.
	SeedAddresses []netip.AddrPort
	// MemoryMegabytes is the memory in MiB that the process may use, of which clients may take shares.
	MemoryMegabytes int
	// StoreTimeout bounds one call to the store.
	StoreTimeout pollensettings.Duration
	// RememberedRequests bounds the number of requests stored to detect duplicates.
	RememberedRequests int
	// HedgeShare is the maximum number of hedges per sub-query that is not itself a hedge.
	HedgeShare float64
	// Baseline replaces the query policy in experiments: empty for none, or "Naive".
	Baseline string
}

// BaselineNaive sends requests directly to random replicas, without owners, limits, hedges or deduplication.
const BaselineNaive = "Naive"

// DefaultSettings returns the default values of optional settings.
func DefaultSettings() *Settings {
	return &Settings{
		MemoryMegabytes:    defaultMemoryMegabytes,
		StoreTimeout:       pollensettings.Duration(defaultStoreTimeout),
		RememberedRequests: defaultRememberedRequests,
		HedgeShare:         pollenquery.DefaultPolicy().HedgeShare,
	}
}

// Check returns a *pollensettings.FieldError for the first invalid value.
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
	if s.MemoryMegabytes < 1 {
		checks = append(checks, &pollensettings.FieldError{Field: "MemoryMegabytes", Problem: fmt.Sprintf("%d: want at least 1", s.MemoryMegabytes)})
	}
	if s.RememberedRequests < 1 {
		checks = append(checks, &pollensettings.FieldError{Field: "RememberedRequests", Problem: fmt.Sprintf("%d: want at least 1", s.RememberedRequests)})
	}
	if s.HedgeShare < 0 || s.HedgeShare > 1 {
		checks = append(checks, &pollensettings.FieldError{Field: "HedgeShare", Problem: fmt.Sprintf("%v: want 0 to 1", s.HedgeShare)})
	}
	if s.Baseline != "" && s.Baseline != BaselineNaive {
		checks = append(checks, &pollensettings.FieldError{Field: "Baseline", Problem: fmt.Sprintf("%q: want empty or %q", s.Baseline, BaselineNaive)})
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}
