package pollenfront

import (
	"net/netip"
	"time"

	"pollenline.example/pollen/pollenbudget"
	"pollenline.example/pollen/pollensettings"
)

// Settings configures an instance; the platform fills in the file from a template.
type Settings struct {
	Name string
	Zone string
	// CallerAddress takes callers' requests, DirectoryAddress tells callers where to connect, and ReadinessAddress
	// tells the platform whether the instance is ready.
	CallerAddress    netip.AddrPort
	DirectoryAddress netip.AddrPort
	ReadinessAddress netip.AddrPort
	// MetricsAddress serves counters and histograms.
	MetricsAddress netip.AddrPort
	StoreAddress   netip.AddrPort
	// PeerAddress takes calls of other instances.
	PeerAddress netip.AddrPort
	// ProcessorShare is the share of a processor core that the instance may use.
	ProcessorShare float64

	// RetryRatio, RetrySlack and RetryWindow limit extra requests to a service over all instances.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow pollensettings.Duration
	// StopTimeout is the time between the signal to stop and the end of the process.
	StopTimeout pollensettings.Duration
	// LongestLifetime bounds how long callers use an answer of the directory.
	LongestLifetime pollensettings.Duration
	// CallerTrip is the time that a request and its answer spend on the way between caller and instance.
	CallerTrip pollensettings.Duration
	// StoreTimeout bounds calls of the store.
	StoreTimeout pollensettings.Duration
	// StorePause is how long an instance waits after a watch was answered.
	StorePause pollensettings.Duration
	// ConfigurationDelay is the time within which a change in the store must be in force.
	ConfigurationDelay pollensettings.Duration
	// InstanceLease is how long others name an instance that has died.
	InstanceLease pollensettings.Duration
	// LinesPerSecond bounds the log.
	LinesPerSecond int
	// CollectionPercent is the growth of the heap, in percent, after which garbage is collected.
	CollectionPercent int
}

// DefaultSettings returns settings for what a file may leave out.
func DefaultSettings() *Settings {
	return &Settings{
		RetryWindow:        pollensettings.Duration(10 * time.Second),
		StopTimeout:        pollensettings.Duration(6 * time.Second),
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

// budget returns the limits of extra requests.
func (s *Settings) budget() pollenbudget.Config {
	return pollenbudget.Config{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow.Std()}
}

// fixed returns the settings that take effect at the next start only.
func (s *Settings) fixed() Settings {
	fixed := *s
	fixed.RetryRatio, fixed.RetrySlack, fixed.RetryWindow, fixed.StopTimeout = 0, 0, 0, 0
	return fixed
}

// Check implements pollensettings.Checker.
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
	for _, duration := range []struct {
		field string
		value pollensettings.Duration
	}{
		{"RetryWindow", s.RetryWindow}, {"StopTimeout", s.StopTimeout}, {"LongestLifetime", s.LongestLifetime},
		{"CallerTrip", s.CallerTrip}, {"StoreTimeout", s.StoreTimeout}, {"StorePause", s.StorePause},
		{"ConfigurationDelay", s.ConfigurationDelay}, {"InstanceLease", s.InstanceLease},
	} {
		if err := pollensettings.RequirePositive(duration.field, duration.value); err != nil {
			return err
		}
	}
	if s.ProcessorShare < 0 {
		return &pollensettings.FieldError{Field: "ProcessorShare", Problem: "below zero"}
	}
	if s.RetryRatio < 0 {
		return &pollensettings.FieldError{Field: "RetryRatio", Problem: "below zero"}
	}
	if s.RetrySlack < 0 {
		return &pollensettings.FieldError{Field: "RetrySlack", Problem: "below zero"}
	}
	if s.CollectionPercent <= 0 {
		return &pollensettings.FieldError{Field: "CollectionPercent", Problem: "not above zero"}
	}
	if s.LinesPerSecond <= 0 {
		return &pollensettings.FieldError{Field: "LinesPerSecond", Problem: "not above zero"}
	}
	return nil
}
