package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pollenline.example/pollen/pollencommand"
	"pollenline.example/pollen/polleninstance"
	"pollenline.example/pollen/pollenlog"
	"pollenline.example/pollen/pollensettings"
	"pollenline.example/pollenentry/pollenfront"
)

func main() {
	var file string
	flags := func(f *flag.FlagSet) {
		f.StringVar(&file, "settings", "pollenentry.json", "settings `file`, JSON")
	}
	os.Exit(pollencommand.Main(
		&pollencommand.Command{
			CommandName: "serve",
			Summary:     "run an entry instance until SIGTERM or SIGINT",
			Help:        "serve -settings FILE\n\nRuns one entry instance. SIGTERM or SIGINT starts a graceful shutdown, which takes several seconds.",
			Flags:       flags,
			Run:         func(ctx context.Context, _ []string) error { return serve(ctx, file) },
		},
		&pollencommand.Command{
			CommandName: "check",
			Summary:     "check a settings file and exit",
			Help:        "check -settings FILE\n\nExits with status 2 if the settings are invalid, and reports the file and the problem.",
			Flags:       flags,
			Run:         func(context.Context, []string) error { return checkSettings(file, polleninstance.DefaultSettings()) },
		},
		&pollencommand.Command{
			CommandName: "front",
			Summary:     "serve callers on the users' platform until SIGTERM or SIGINT",
			Help:        "front -settings FILE\n\nRuns one entry instance on the users' platform. SIGTERM or SIGINT starts a graceful shutdown.",
			Flags:       flags,
			Run:         func(ctx context.Context, _ []string) error { return serveFront(ctx, file) },
		},
		&pollencommand.Command{
			CommandName: "check-front",
			Summary:     "check a settings file of the front command and exit",
			Help:        "check-front -settings FILE\n\nExits with status 2 if the settings are invalid, and reports the file and the problem.",
			Flags:       flags,
			Run:         func(context.Context, []string) error { return checkSettings(file, pollenfront.DefaultSettings()) },
		},
	))
}

// settingsPathEnv is the environment variable in which the users' platform passes the path of the settings file.
const settingsPathEnv = "POLLENLINE_CONFIG"

// serveFront runs an instance on the users' platform until SIGTERM or SIGINT, and applies changes to its settings file.
func serveFront(ctx context.Context, file string) error {
	// Signal handlers are installed first, since a signal during startup would otherwise terminate the process.
	ctx = pollencommand.UntilSignal(ctx)
	ignoreClosedOutput()
	hangupSignals := make(chan os.Signal, 1)
	signal.Notify(hangupSignals, syscall.SIGHUP)
	if path := os.Getenv(settingsPathEnv); path != "" {
		file = path
	}
	settings := pollenfront.DefaultSettings()
	if err := pollensettings.Load(file, settings); err != nil {
		return err
	}
	writer := pollenlog.NewWriter(os.Stdout, pollenlog.WriterConfig{
		QueueLines: logQueueLines, LinesPerSecond: settings.LinesPerSecond, Frequent: requestLine,
	})
	defer writer.Close()
	frontend, err := pollenfront.New(settings, pollenlog.Setup(writer, "pollenentry", settings.Name))
	if err != nil {
		return err
	}
	go pollensettings.Follow(ctx, pollensettings.FollowConfig{
		File: file, Interval: reloadInterval, Signals: hangupSignals,
		Apply: func(data []byte) error {
			reloaded := pollenfront.DefaultSettings()
			if err := pollensettings.Parse(data, reloaded); err != nil {
				return err
			}
			frontend.Reload(reloaded)
			return nil
		},
	})
	return frontend.Run(ctx)
}

// reloadInterval is how often the settings file is checked for changes made without a SIGHUP.
const reloadInterval = 2 * time.Second

// requestLine is part of the line that each request writes.
const requestLine = `"Msg":"Request"`

// logQueueLines bounds the number of queued log lines, which take a few hundred kilobytes.
const logQueueLines = 512

// ignoreClosedOutput keeps the process running when the reader of its log has gone: a write to a closed standard output would end it, and
// all open requests with it.
func ignoreClosedOutput() { signal.Ignore(syscall.SIGPIPE) }

// serve runs an instance until SIGTERM or SIGINT. It ignores SIGHUP, as its settings can't change at run time.
func serve(ctx context.Context, file string) error {
	ctx = pollencommand.UntilSignal(ctx)
	ignoreClosedOutput()
	signal.Ignore(syscall.SIGHUP)
	settings := polleninstance.DefaultSettings()
	if err := pollensettings.Load(file, settings); err != nil {
		return err
	}
	logger := pollenlog.Setup(os.Stderr, "pollenentry", settings.Name)
	return polleninstance.New(polleninstance.NetworkConfig(settings, logger)).Run(ctx)
}

// checkSettings validates a settings file and prints the result.
func checkSettings(file string, settings pollensettings.Checker) error {
	if err := pollensettings.Load(file, settings); err != nil {
		return err
	}
	fmt.Printf("%s: settings are valid\n", file)
	return nil
}
