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

// Command describes one subcommand. It implements subcommands.Command.
type Command struct {
	// CommandName is the name of the subcommand on the command line.
	CommandName string
	// Summary is the subcommand's line in the list of commands.
	Summary string
	// Help is the text that "help NAME" prints above the flags.
	Help string
	// Flags declares the subcommand's flags; nil declares none.
	Flags func(flags *flag.FlagSet)
	// Run executes the subcommand with the arguments that follow the flags.
	Run func(ctx context.Context, arguments []string) error
}

// Name returns the name of the subcommand.
func (c *Command) Name() string { return c.CommandName }

// Synopsis returns the summary.
func (c *Command) Synopsis() string { return c.Summary }

// Usage returns the help text, followed by the heading of the flags.
func (c *Command) Usage() string { return c.Help + "\n\nFlags:\n" }

// SetFlags declares the subcommand's flags.
func (c *Command) SetFlags(flags *flag.FlagSet) {
	if c.Flags != nil {
		c.Flags(flags)
	}
}

// Execute runs the subcommand and prints its error; invalid settings and command lines give the status ExitUsage.
func (c *Command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.Run(ctx, flags.Args())
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", c.CommandName, err)
	klog.Flush()
	var fileError *pollensettings.FileError
	var usageError *UsageError
	if errors.As(err, &fileError) || errors.As(err, &usageError) {
		return pollensettings.ExitUsage
	}
	return subcommands.ExitFailure
}

// UsageError reports an invalid command line.
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

// Main runs the subcommand given on the command line and returns the exit status of the process.
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

// UntilSignal returns a context that is cancelled by the first SIGTERM or SIGINT.
//
// Later signals are caught and ignored, so that they don't interrupt a graceful shutdown.
func UntilSignal(parent context.Context) context.Context {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for sig := range signals {
			klog.InfoS("Signal", "signal", sig.String())
			cancel()
		}
	}()
	return ctx
}
