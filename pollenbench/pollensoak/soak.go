package pollensoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"pollenline.example/platform/pollenstage"
)

// Config configures one run.
type Config struct {
	// Program is the path of the program of the entry instances.
	Program string
	// Directory takes settings and logs.
	Directory string
	Seed      uint64
	// Duration is how long faults may begin.
	Duration  time.Duration
	Instances int
	Callers   int
	// Only names the kinds of faults to draw from; empty for all.
	Only []string
	// Output takes a line for each fault.
	Output io.Writer
}

// Report is what a run has shown.
type Report struct {
	Seed       uint64
	Requests   int
	Served     int
	Runs       int
	Faults     []string
	Violations []Violation
}

// event is a fault of a run's plan.
type event struct {
	at    time.Duration
	lasts time.Duration
	fault fault
	seed  uint64
}

const (
	// warmTime is the time before the first fault.
	warmTime = 2 * time.Second
	// judgedTime is how long requests go on after the time that recovery may take.
	judgedTime = 3 * time.Second
	// faultEvery is the mean time between the beginnings of faults; most last longer.
	faultEvery = 900 * time.Millisecond
	// shortestFault and longestFault bound troubles that have a length.
	shortestFault = 400 * time.Millisecond
	longestFault  = 4 * time.Second
	// callerPause is the mean time between the requests of one caller.
	callerPause = 60 * time.Millisecond
	patience    = 2 * time.Second
	// orderlyEnd is the time in which what is open ends after the last request.
	orderlyEnd = 500 * time.Millisecond
)

// UnknownFaultError reports a name that no fault has.
type UnknownFaultError struct {
	Name string
}

func (e *UnknownFaultError) Error() string { return fmt.Sprintf("there is no fault %q", e.Name) }

// Describe returns a line for each kind of fault and each promise.
func Describe() string {
	var text strings.Builder
	for _, f := range faults {
		fmt.Fprintf(&text, "  %-20s %s\n", f.name, f.about)
	}
	text.WriteString("\nPromises:\n")
	for _, p := range promises {
		fmt.Fprintf(&text, "  %-20s %s\n", p.name, p.about)
	}
	return text.String()
}

// Run plays one seed.
func Run(ctx context.Context, config Config) (*Report, error) {
	plan, err := newPlan(config)
	if err != nil {
		return nil, err
	}
	directory := filepath.Join(config.Directory, fmt.Sprintf("seed-%d", config.Seed))
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, fmt.Errorf("seed %d: %w", config.Seed, err)
	}
	w, err := newWorld(config.Program, directory, config.Seed, config.Instances)
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", config.Seed, err)
	}
	defer w.close()
	if err := w.start(ctx); err != nil {
		return nil, fmt.Errorf("seed %d: %w", config.Seed, err)
	}
	callers, stop := context.WithCancel(ctx)
	defer stop()
	var asking sync.WaitGroup
	for n := range config.Callers {
		asking.Go(func() { w.call(callers, n, config.Seed) })
	}
	if err := w.play(ctx, plan, config.Output); err != nil {
		return nil, fmt.Errorf("seed %d: %w", config.Seed, err)
	}
	w.record.quiet = time.Now()
	time.Sleep(w.record.bounds.Recover + judgedTime)
	stop()
	asking.Wait()
	time.Sleep(orderlyEnd)
	return w.report(config.Seed, plan), nil
}

// newPlan draws the faults of a run: they begin at any time, and overlap.
func newPlan(config Config) ([]event, error) {
	kinds := faults
	if len(config.Only) > 0 {
		kinds = nil
		for _, name := range config.Only {
			f, ok := faultByName(name)
			if !ok {
				return nil, &UnknownFaultError{Name: name}
			}
			kinds = append(kinds, f)
		}
	}
	random := rand.New(rand.NewPCG(config.Seed, 1))
	var plan []event
	for at := warmTime; at < warmTime+config.Duration; at += time.Duration(random.ExpFloat64() * float64(faultEvery)) {
		plan = append(plan, event{
			at: at, fault: kinds[random.IntN(len(kinds))], seed: random.Uint64(),
			lasts: shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault))),
		})
	}
	return plan, nil
}

func faultByName(name string) (fault, bool) {
	for _, f := range faults {
		if f.name == name {
			return f, true
		}
	}
	return fault{}, false
}

// play lets the faults of a plan strike and waits until all are over.
func (w *world) play(ctx context.Context, plan []event, output io.Writer) error {
	begun := time.Now()
	ended := make(chan error, len(plan))
	for _, e := range plan {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(begun.Add(e.at))):
		}
		fmt.Fprintf(output, "%6.2fs %s\n", time.Since(begun).Seconds(), e.fault.name)
		go func() { ended <- e.fault.strike(ctx, w, rand.New(rand.NewPCG(e.seed, 1)), e.lasts) }()
	}
	var failed []error
	for range plan {
		failed = append(failed, <-ended)
	}
	return errors.Join(failed...)
}

// call sends requests of all kinds over one connection after the other until ctx is done.
func (w *world) call(ctx context.Context, number int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(number)+2))
	caller := &pollenstage.Caller{Directories: w.directories(), Pick: random.IntN}
	defer caller.Close()
	for n := 0; ctx.Err() == nil; n++ {
		question := pollenstage.Request{
			ID: fmt.Sprintf("%x-%x-%x", seed, number, n), Method: http.MethodGet, Host: hostName,
			Path: []string{pathQuery, pathPlain, pathMoving, pathOnce}[random.IntN(4)], Timeout: patience,
		}
		if question.Path == pathOnce {
			question.Method, question.Body = http.MethodPost, "reserve "+question.ID
		}
		outcome := caller.Send(ctx, question)
		w.record.saw(outcome)
		wait := max(outcome.RetryAfter, time.Duration(random.ExpFloat64()*float64(callerPause)))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (w *world) directories() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, n := range w.nodes {
		addresses = append(addresses, n.directory)
	}
	return addresses
}

func (w *world) report(seed uint64, plan []event) *Report {
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	all := w.ledger.All()
	w.record.runs = make(map[string][]*pollenstage.Run)
	for _, run := range all {
		w.record.runs[run.Request] = append(w.record.runs[run.Request], run)
	}
	report := &Report{Seed: seed, Requests: len(w.record.outcomes), Runs: len(all), Violations: w.record.check()}
	for _, o := range w.record.outcomes {
		if success(o) {
			report.Served++
		}
	}
	for _, e := range plan {
		report.Faults = append(report.Faults, e.fault.name)
	}
	return report
}
