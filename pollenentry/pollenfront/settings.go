package pollenfront

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"pollenline.example/pollen/pollenbudget"
	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollengate"
	"pollenline.example/pollen/pollenrollout"
	"pollenline.example/pollen/pollenroster"
	"pollenline.example/pollen/pollensettings"
)

// Settings configures a Frontend; the users' platform renders the file from a template.
type Settings struct {
	// Name is the unique name of the instance.
	Name string
	// Zone is the availability zone of the instance.
	Zone string
	// CallerAddress serves callers' requests, DirectoryAddress the list of instances, and ReadinessAddress the
	// platform's readiness probe.
	CallerAddress    netip.AddrPort
	DirectoryAddress netip.AddrPort
	ReadinessAddress netip.AddrPort
	// MetricsAddress serves Prometheus metrics.
	MetricsAddress netip.AddrPort
	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort
	// PeerAddress serves calls from other instances.
	PeerAddress netip.AddrPort
	// SourceAddress is the address from which connections to backend servers are made; the system chooses it if it is empty.
	SourceAddress netip.Addr
	// SeedAddresses are the peer addresses of a few instances that are asked for the store's keys if the store does not
	// answer at startup.
	SeedAddresses []netip.AddrPort
	// FirstStart is set when the whole fleet starts for the first time, so that no callers wait for it.
	FirstStart bool
	// ProcessorShare is the number of processor cores that the instance may use, such as 0.4.
	ProcessorShare float64
	// MemoryMegabytes is the memory in MiB that the process may use; zero if it is not limited.
	MemoryMegabytes int
	// MaxDescriptors is the number of descriptors that the process may have open, of which clients may take shares; zero if it is not
	// stated. The system's limit holds if it is lower.
	MaxDescriptors int

	// RetryRatio is the number of retries and hedges allowed per first request to a service, and RetrySlack the number
	// allowed in addition; both count all instances' requests within RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow pollensettings.Duration
	// Within any QuotaWindow, the requests of a team that all instances admit stay within (rate x window + burst) x
	// (1 + QuotaOvershoot) + QuotaSlack.
	QuotaWindow    pollensettings.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// RolloutShare is the share of a service's requests that servers of a bad version may get during a rollout, and RolloutSlack the number
	// in addition; both count the requests of all instances. Versions of servers do not matter if RolloutShare is zero.
	RolloutShare float64
	RolloutSlack float64
	// RollbackDelay is the time within which a bad version must get no more requests.
	RollbackDelay pollensettings.Duration
	// StopTimeout is the time within which the process must exit after SIGTERM or SIGINT.
	StopTimeout pollensettings.Duration
	// DrainNotice is the time after a server's announcement that it leaves from which it must get no newer requests.
	DrainNotice pollensettings.Duration
	// LongestLifetime bounds how long callers may cache an answer of the directory.
	LongestLifetime pollensettings.Duration
	// CallerTrip is the network round-trip time between caller and instance.
	CallerTrip pollensettings.Duration
	// StoreTimeout bounds each call to the store.
	StoreTimeout pollensettings.Duration
	// StorePause is the delay between an answered watch and the next one.
	StorePause pollensettings.Duration
	// ConfigurationDelay is the time within which a change in the store must take effect.
	ConfigurationDelay pollensettings.Duration
	// InstanceLease is the duration of the lease on the instance's registration, and so how long others may still
	// list an instance that has crashed.
	InstanceLease pollensettings.Duration
	// LinesPerSecond bounds the rate of log lines.
	LinesPerSecond int
	// CollectionPercent is the garbage collector's target percentage, as in GOGC.
	CollectionPercent int
}

// DefaultSettings returns the defaults of all optional settings.
func DefaultSettings() *Settings {
	return &Settings{
		RetryWindow:        pollensettings.Duration(10 * time.Second),
		QuotaWindow:        pollensettings.Duration(5 * time.Second),
		QuotaOvershoot:     0.1,
		QuotaSlack:         20,
		RollbackDelay:      pollensettings.Duration(5 * time.Second),
		StopTimeout:        pollensettings.Duration(6 * time.Second),
		DrainNotice:        pollensettings.Duration(pollengate.DefaultDrainNotice),
		LongestLifetime:    pollensettings.Duration(5 * time.Second),
		CallerTrip:         pollensettings.Duration(20 * time.Millisecond),
		StoreTimeout:       pollensettings.Duration(time.Second),
		StorePause:         pollensettings.Duration(400 * time.Millisecond),
		ConfigurationDelay: pollensettings.Duration(3 * time.Second),
		InstanceLease:      pollensettings.Duration(3 * time.Second),
		LinesPerSecond:     400,
		CollectionPercent:  30,
	}
}

// budgetConfig returns the limits of retries and hedges.
func (s *Settings) budgetConfig() pollenbudget.Config {
	return pollenbudget.Config{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow.Std()}
}

// rolloutPolicy returns the bounds of rollouts.
func (s *Settings) rolloutPolicy() pollenrollout.Policy {
	return pollenrollout.Policy{Share: s.RolloutShare, Slack: s.RolloutSlack, RollbackDelay: s.RollbackDelay.Std()}
}

// startupDelay returns how long the instance lets others read the store first.
func (s *Settings) startupDelay(self pollencatalog.Instance) time.Duration {
	if !s.FirstStart {
		return 0
	}
	return pollenroster.StartupDelay(self, rand.Float64())
}

// otherSeeds returns the addresses of the seeds without this instance's own.
func (s *Settings) otherSeeds() []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(s.SeedAddresses), func(address netip.AddrPort) bool { return address == s.PeerAddress })
}

// bodyMemoryShare is the share of the instance's memory that bodies of requests and answers may take.
const bodyMemoryShare = 0.1

// bodyBytes returns how many bytes the bodies of requests and answers may take, zero for no limit.
func (s *Settings) bodyBytes() int64 { return int64(float64(s.MemoryMegabytes<<20) * bodyMemoryShare) }

// startupSettings returns a copy in which the settings that Reload applies are zero.
func (s *Settings) startupSettings() Settings {
	startup := *s
	startup.RetryRatio, startup.RetrySlack, startup.RetryWindow, startup.StopTimeout, startup.DrainNotice = 0, 0, 0, 0, 0
	startup.SeedAddresses, startup.FirstStart = nil, false
	return startup
}

// Check returns an error for the first invalid value. It implements pollensettings.Checker.
func (s *Settings) Check() error {
	for _, text := range []struct{ field, value string }{{"Name", s.Name}, {"Zone", s.Zone}} {
		if err := pollensettings.RequireText(text.field, text.value); err != nil {
			return err
		}
	}
	for _, address := range []struct {
		field string
		value netip.AddrPort
	}{
		{"CallerAddress", s.CallerAddress}, {"DirectoryAddress", s.DirectoryAddress},
		{"ReadinessAddress", s.ReadinessAddress}, {"MetricsAddress", s.MetricsAddress}, {"StoreAddress", s.StoreAddress}, {"PeerAddress", s.PeerAddress},
	} {
		if err := pollensettings.RequireAddress(address.field, address.value); err != nil {
			return err
		}
	}
	for _, seed := range s.SeedAddresses {
		if err := pollensettings.RequireAddress("SeedAddresses", seed); err != nil {
			return err
		}
	}
	for _, duration := range []struct {
		field string
		value pollensettings.Duration
	}{
		{"RetryWindow", s.RetryWindow}, {"QuotaWindow", s.QuotaWindow}, {"StopTimeout", s.StopTimeout}, {"DrainNotice", s.DrainNotice},
		{"LongestLifetime", s.LongestLifetime},
		{"CallerTrip", s.CallerTrip}, {"StoreTimeout", s.StoreTimeout}, {"StorePause", s.StorePause},
		{"ConfigurationDelay", s.ConfigurationDelay}, {"InstanceLease", s.InstanceLease}, {"RollbackDelay", s.RollbackDelay},
	} {
		if err := pollensettings.RequirePositive(duration.field, duration.value); err != nil {
			return err
		}
	}
	if s.ProcessorShare < 0 {
		return &pollensettings.FieldError{Field: "ProcessorShare", Problem: fmt.Sprintf("%v is below zero", s.ProcessorShare)}
	}
	if s.MemoryMegabytes < 0 {
		return &pollensettings.FieldError{Field: "MemoryMegabytes", Problem: fmt.Sprintf("%d is below zero", s.MemoryMegabytes)}
	}
	if s.MaxDescriptors < 0 {
		return &pollensettings.FieldError{Field: "MaxDescriptors", Problem: fmt.Sprintf("%d is below zero", s.MaxDescriptors)}
	}
	if s.RetryRatio < 0 {
		return &pollensettings.FieldError{Field: "RetryRatio", Problem: fmt.Sprintf("%v is below zero", s.RetryRatio)}
	}
	if s.RetrySlack < 0 {
		return &pollensettings.FieldError{Field: "RetrySlack", Problem: fmt.Sprintf("%v is below zero", s.RetrySlack)}
	}
	if s.QuotaOvershoot < 0 {
		return &pollensettings.FieldError{Field: "QuotaOvershoot", Problem: fmt.Sprintf("%v is below zero", s.QuotaOvershoot)}
	}
	if s.QuotaSlack < 0 {
		return &pollensettings.FieldError{Field: "QuotaSlack", Problem: fmt.Sprintf("%v is below zero", s.QuotaSlack)}
	}
	if !(s.RolloutShare >= 0 && s.RolloutShare <= 1) {
		return &pollensettings.FieldError{Field: "RolloutShare", Problem: fmt.Sprintf("%v is not between zero and one", s.RolloutShare)}
	}
	if s.RolloutSlack < 0 {
		return &pollensettings.FieldError{Field: "RolloutSlack", Problem: fmt.Sprintf("%v is below zero", s.RolloutSlack)}
	}
	if s.CollectionPercent <= 0 {
		return &pollensettings.FieldError{Field: "CollectionPercent", Problem: fmt.Sprintf("%d is not above zero", s.CollectionPercent)}
	}
	if s.LinesPerSecond <= 0 {
		return &pollensettings.FieldError{Field: "LinesPerSecond", Problem: fmt.Sprintf("%d is not above zero", s.LinesPerSecond)}
	}
	return nil
}
