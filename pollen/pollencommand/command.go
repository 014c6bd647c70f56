package pollencommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollensettings"
)

// Command is one subcommand, described by data.
type Command struct {
	CommandName string
	Summary     string
	// Help is shown with the flags by "help NAME".
	Help string
	// Flags declares the command's flags.
	Flags func(flags *flag.FlagSet)
	Run   func(ctx context.Context, arguments []string) error
}

// Name implements subcommands.Command.
func (c *Command) Name() string { return c.CommandName }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return c.Summary }

// Usage implements subcommands.Command.
func (c *Command) Usage() string { return c.Help + "\n\nFlags:\n" }

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(flags *flag.FlagSet) {
	if c.Flags != nil {
		c.Flags(flags)
	}
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.Run(ctx, flags.Args())
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", c.CommandName, err)
	klog.Flush()
	var file *pollensettings.FileError
	var usage *UsageError
	if errors.As(err, &file) || errors.As(err, &usage) {
		return pollensettings.ExitUsage
	}
	return subcommands.ExitFailure
}

// UsageError reports a command line that is refused.
type UsageError struct {
	Problem string
	Err     error
}

func (e *UsageError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", e.Problem, e.Err)
	}
	return e.Problem
}

func (e *UsageError) Unwrap() error { return e.Err }

// Main runs the subcommand that the command line names and returns the exit status.
func Main(commands ...*Command) int {
	commander := subcommands.NewCommander(flag.CommandLine, os.Args[0])
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for _, c := range commands {
		commander.Register(c, "")
	}
	flag.Parse()
	return int(commander.Execute(context.Background()))
}

// UntilSignal returns a context that is done at the first SIGTERM or SIGINT.
//
// Later signals are taken and ignored, so that they do not cut a graceful shutdown off.
func UntilSignal(parent context.Context) context.Context {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for received := range signals {
			klog.InfoS("Signal", "signal", received.String())
			cancel()
		}
	}()
	return ctx
}
