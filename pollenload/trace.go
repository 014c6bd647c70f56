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

// recordOptions are the flags of the record command.
type recordOptions struct {
	outcome  pollentrace.Outcome
	streams  []stream
	failures []pollentrace.Failure
	duration time.Duration
	seed     uint64
	file     string
	baseline string
}

// stream is a flow of requests of one kind.
type stream struct {
	service string
	class   string
	rate    float64
	timeout time.Duration
	action  bool
}

func traceCommands() []*pollencommand.Command {
	o := &recordOptions{}
	return []*pollencommand.Command{
		{
			CommandName: "record", Summary: "run requests and failures, and write them as a trace",
			Help: "record -out FILE -name NAME -requests STREAM... -failure FAILURE... [bounds]\n\n" +
				"Runs instances with fakes around them in this process, in real time, writes what was sent and what failed as JSON lines " +
				"with the outcome that a replay must come to, and prints what this run came to. A STREAM is " +
				"service,class,rate,timeout[,action]; a FAILURE is kind,at,target,for.",
			Flags: o.flags,
			Run:   func(context.Context, []string) error { return o.record() },
		},
		{
			CommandName: "replay", Summary: "replay a trace against its stated outcome",
			Help: "replay [-baseline Naive] FILE\n\nExits with status 1 if the outcome is missed.",
			Flags: func(f *flag.FlagSet) {
				f.StringVar(&o.baseline, "baseline", "", "`policy` to replay with: empty, or "+polleninstance.BaselineNaive)
			},
			Run: func(_ context.Context, arguments []string) error { return o.replay(arguments) },
		},
	}
}

func (o *recordOptions) flags(f *flag.FlagSet) {
	f.StringVar(&o.file, "out", "", "`file` to write")
	f.StringVar(&o.outcome.Name, "name", "", "`name` of the trace")
	f.StringVar(&o.outcome.Story, "story", "", "accident that the trace retells, as a `sentence`")
	f.IntVar(&o.outcome.Instances, "instances", 5, "number of instances")
	f.StringVar(&o.outcome.Class, "class", "", "`class` that the bounds are for; empty for all")
	f.Func("latency", "bound of the 99th percentile", func(text string) error { return o.outcome.Latency.UnmarshalText([]byte(text)) })
	f.Float64Var(&o.outcome.Coverage, "coverage", 0, "least share of shards covered")
	f.Float64Var(&o.outcome.Done, "done", 0, "least share of requests done")
	f.DurationVar(&o.duration, "duration", 10*time.Second, "how long requests are sent")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the times of requests")
	f.Func("requests", "`stream` of requests; may be repeated", o.addStream)
	f.Func("failure", "`failure`; may be repeated", o.addFailure)
}

func (o *recordOptions) addStream(text string) error {
	fields := strings.Split(text, ",")
	if len(fields) < 4 {
		return &pollencommand.UsageError{Problem: "want service,class,rate,timeout[,action]"}
	}
	rate, rateErr := strconv.ParseFloat(fields[2], 64)
	timeout, timeoutErr := time.ParseDuration(fields[3])
	if err := errors.Join(rateErr, timeoutErr); err != nil {
		return &pollencommand.UsageError{Problem: text, Err: err}
	}
	o.streams = append(o.streams, stream{service: fields[0], class: fields[1], rate: rate, timeout: timeout, action: len(fields) > 4})
	return nil
}

func (o *recordOptions) addFailure(text string) error {
	fields := strings.Split(text, ",")
	if len(fields) != 4 {
		return &pollencommand.UsageError{Problem: "want kind,at,target,for"}
	}
	at, atErr := time.ParseDuration(fields[1])
	length, lengthErr := time.ParseDuration(fields[3])
	if err := errors.Join(atErr, lengthErr); err != nil {
		return &pollencommand.UsageError{Problem: text, Err: err}
	}
	o.failures = append(o.failures, pollentrace.Failure{
		At: pollensettings.Duration(at), Kind: fields[0], Target: fields[2], For: pollensettings.Duration(length),
	})
	return nil
}

func (o *recordOptions) record() error {
	trace := &pollentrace.Trace{Outcome: o.outcome, Failures: o.failures, Requests: o.draw()}
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

// draw returns the requests of all streams, at random times, in order.
func (o *recordOptions) draw() []pollentrace.Request {
	random := rand.New(rand.NewPCG(o.seed, 4))
	var requests []pollentrace.Request
	for _, s := range o.streams {
		at := time.Duration(0)
		for number := 0; ; number++ {
			at += time.Duration(random.ExpFloat64() / s.rate * float64(time.Second)).Round(time.Millisecond)
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

// MissedError reports a replay that missed the stated outcome.
type MissedError struct {
	Problems []string
}

func (e *MissedError) Error() string { return "outcome missed: " + strings.Join(e.Problems, "; ") }

func (o *recordOptions) replay(arguments []string) error {
	if len(arguments) != 1 {
		return &pollencommand.UsageError{Problem: "want one file"}
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
		return &MissedError{Problems: report.Problems}
	}
	return nil
}

func printReport(r *pollentrial.Report) {
	fmt.Printf("Requests=%d P99=%v Coverage=%.4f Done=%.4f RunTwice=%d FalseNotRun=%d Untruthful=%d\n",
		r.Requests, r.Latency, r.Coverage, r.Done, r.DuplicateRuns, r.FalseNotRun, r.Untruthful)
}
