package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"pollenline.example/pollen/pollencommand"
	"pollenline.example/pollen/polleninstance"
	"pollenline.example/pollen/pollensettings"
	"pollenline.example/pollen/pollentrace"
	"pollenline.example/pollen/pollentrial"
)

// traceOptions holds the flags of the record and replay commands.
type traceOptions struct {
	outcome  pollentrace.Outcome
	streams  []stream
	failures []pollentrace.Failure
	duration time.Duration
	seed     uint64
	file     string
	baseline string
}

// stream describes requests with the same properties, sent at random times.
type stream struct {
	service string
	class   string
	// rate is the mean number of requests per second.
	rate    float64
	timeout time.Duration
	action  bool
}

func traceCommands() []*pollencommand.Command {
	o := &traceOptions{}
	return []*pollencommand.Command{
		{
			CommandName: "record", Summary: "run requests and failures and write them as a trace",
			Help: "record -out FILE -name NAME -requests STREAM... -failure FAILURE... [bounds]\n\n" +
				"Runs instances against in-process fakes in real time, writes the requests and failures as JSON lines together with " +
				"the outcome that a replay must reach, and prints the results of this run. A STREAM is " +
				"service,class,rate,timeout[,action]; a FAILURE is kind,at,target,for.",
			Flags: o.flags,
			Run:   func(context.Context, []string) error { return o.recordTrace() },
		},
		{
			CommandName: "replay", Summary: "replay a trace and check its expected outcome",
			Help: "replay [-baseline Naive] FILE\n\nExits with status 1 if the expected outcome is missed.",
			Flags: func(f *flag.FlagSet) {
				f.StringVar(&o.baseline, "baseline", "", "`policy` to replay with: empty for the default, or "+polleninstance.BaselineNaive)
			},
			Run: func(_ context.Context, arguments []string) error { return o.replayTrace(arguments) },
		},
	}
}

func (o *traceOptions) flags(f *flag.FlagSet) {
	f.StringVar(&o.file, "out", "", "`file` to write")
	f.StringVar(&o.outcome.Name, "name", "", "`name` of the trace")
	f.StringVar(&o.outcome.Story, "story", "", "incident that the trace reproduces, as a `sentence`")
	f.IntVar(&o.outcome.Instances, "instances", 5, "number of instances")
	f.StringVar(&o.outcome.Class, "class", "", "`class` to which the bounds apply; empty for all")
	f.Func("latency", "upper bound of the 99th percentile of latency", func(text string) error { return o.outcome.Latency.UnmarshalText([]byte(text)) })
	f.Float64Var(&o.outcome.Coverage, "coverage", 0, "minimum share of shards covered")
	f.Float64Var(&o.outcome.Done, "done", 0, "minimum share of requests done")
	f.DurationVar(&o.duration, "duration", 10*time.Second, "how long requests are sent")
	f.Uint64Var(&o.seed, "seed", 1, "random seed of the times at which requests are sent")
	f.Func("requests", "`stream` of requests; may be repeated", o.addStream)
	f.Func("failure", "`failure`; may be repeated", o.addFailure)
}

func (o *traceOptions) addStream(text string) error {
	fields := strings.Split(text, ",")
	if len(fields) < 4 {
		return &pollencommand.UsageError{Problem: fmt.Sprintf("stream %q: want service,class,rate,timeout[,action]", text)}
	}
	rate, rateErr := strconv.ParseFloat(fields[2], 64)
	timeout, timeoutErr := time.ParseDuration(fields[3])
	if err := errors.Join(rateErr, timeoutErr); err != nil {
		return &pollencommand.UsageError{Problem: fmt.Sprintf("stream %q", text), Err: err}
	}
	o.streams = append(o.streams, stream{service: fields[0], class: fields[1], rate: rate, timeout: timeout, action: len(fields) > 4})
	return nil
}

func (o *traceOptions) addFailure(text string) error {
	fields := strings.Split(text, ",")
	if len(fields) != 4 {
		return &pollencommand.UsageError{Problem: fmt.Sprintf("failure %q: want kind,at,target,for", text)}
	}
	at, atErr := time.ParseDuration(fields[1])
	duration, durationErr := time.ParseDuration(fields[3])
	if err := errors.Join(atErr, durationErr); err != nil {
		return &pollencommand.UsageError{Problem: fmt.Sprintf("failure %q", text), Err: err}
	}
	o.failures = append(o.failures, pollentrace.Failure{
		At: pollensettings.Duration(at), Kind: fields[0], Target: fields[2], For: pollensettings.Duration(duration),
	})
	return nil
}

// recordTrace runs the streams and failures, prints the results and writes the trace.
func (o *traceOptions) recordTrace() error {
	trace := &pollentrace.Trace{Outcome: o.outcome, Failures: o.failures, Requests: o.generateRequests()}
	report, err := pollentrial.Replay(trace, o.baseline)
	if err != nil {
		return err
	}
	printReport(report)
	file, err := os.Create(o.file)
	if err != nil {
		return &pollencommand.UsageError{Problem: "flag -out", Err: err}
	}
	return errors.Join(trace.Write(file), file.Close())
}

// generateRequests returns the requests of all streams as Poisson arrivals, sorted by time.
func (o *traceOptions) generateRequests() []pollentrace.Request {
	rng := rand.New(rand.NewPCG(o.seed, 4))
	var requests []pollentrace.Request
	for _, s := range o.streams {
		at := time.Duration(0)
		for number := 0; ; number++ {
			at += time.Duration(rng.ExpFloat64() / s.rate * float64(time.Second)).Round(time.Millisecond)
			if at > o.duration {
				break
			}
			request := pollentrace.Request{
				At: pollensettings.Duration(at), Service: s.service, Class: s.class, Timeout: pollensettings.Duration(s.timeout), Action: s.action,
			}
			if s.action {
				request.Key = fmt.Sprintf("%s-%d", s.service, number)
			}
			requests = append(requests, request)
		}
	}
	slices.SortStableFunc(requests, func(a, b pollentrace.Request) int { return int(a.At - b.At) })
	return requests
}

// OutcomeMissedError reports a replay that missed the expected outcome.
type OutcomeMissedError struct {
	// Problems lists the missed bounds with the measured values, and the violated invariants.
	Problems []string
}

func (e *OutcomeMissedError) Error() string {
	return "outcome missed: " + strings.Join(e.Problems, "; ")
}

// replayTrace replays a trace file and returns an *OutcomeMissedError if the expected outcome is missed.
func (o *traceOptions) replayTrace(arguments []string) error {
	if len(arguments) != 1 {
		return &pollencommand.UsageError{Problem: fmt.Sprintf("want one file, got %d arguments", len(arguments))}
	}
	file, err := os.Open(arguments[0])
	if err != nil {
		return &pollencommand.UsageError{Problem: "trace", Err: err}
	}
	defer file.Close()
	trace, err := pollentrace.Read(file)
	if err != nil {
		return fmt.Errorf("%s: %w", arguments[0], err)
	}
	fmt.Printf("%s: %s\n", trace.Outcome.Name, trace.Outcome.Story)
	report, err := pollentrial.Replay(trace, o.baseline)
	if err != nil {
		return err
	}
	printReport(report)
	if len(report.Problems) > 0 {
		return &OutcomeMissedError{Problems: report.Problems}
	}
	return nil
}

func printReport(r *pollentrial.Report) {
	fmt.Printf("Requests=%d P99=%v Coverage=%.4f Done=%.4f RunTwice=%d FalseNotRun=%d Untruthful=%d\n",
		r.Requests, r.Latency, r.Coverage, r.Done, r.DuplicateRuns, r.FalseNotRun, r.Untruthful)
}
