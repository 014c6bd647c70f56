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
			Summary:     "run an entry instance until SIGTERM",
			Help:        "serve -settings FILE\n\nRuns one entry instance. SIGTERM begins a graceful shutdown, which takes some seconds.",
			Flags:       flags,
			Run:         func(ctx context.Context, _ []string) error { return serve(ctx, file) },
		},
		&pollencommand.Command{
			CommandName: "check",
			Summary:     "check a settings file and exit",
			Help:        "check -settings FILE\n\nExits with status 2 and names file and field when the settings are refused.",
			Flags:       flags,
			Run:         func(context.Context, []string) error { return check(file, polleninstance.DefaultSettings()) },
		},
		&pollencommand.Command{
			CommandName: "front",
			Summary:     "serve callers on the users' platform until SIGTERM",
			Help:        "front -settings FILE\n\nRuns one entry instance on the users' platform. SIGTERM begins a graceful shutdown.",
			Flags:       flags,
			Run:         func(ctx context.Context, _ []string) error { return front(ctx, file) },
		},
		&pollencommand.Command{
			CommandName: "check-front",
			Summary:     "check a settings file of front and exit",
			Help:        "check-front -settings FILE\n\nExits with status 2 and names file and field when the settings are refused.",
			Flags:       flags,
			Run:         func(context.Context, []string) error { return check(file, pollenfront.DefaultSettings()) },
		},
	))
}

// settingsVariable names the platform's variable that holds the path of the settings file.
const settingsVariable = "POLLENLINE_CONFIG"

func front(ctx context.Context, file string) error {
	// Signals are taken before anything else: one that arrives during the start would end the process.
	ctx = pollencommand.UntilSignal(ctx)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	if path := os.Getenv(settingsVariable); path != "" {
		file = path
	}
	settings := pollenfront.DefaultSettings()
	if err := pollensettings.Load(file, settings); err != nil {
		return err
	}
	writer := pollenlog.NewWriter(os.Stdout, pollenlog.WriterConfig{Queue: logQueue, LinesPerSecond: settings.LinesPerSecond})
	defer writer.Close()
	f, err := pollenfront.New(settings, pollenlog.Setup(writer, "pollenentry", settings.Name))
	if err != nil {
		return err
	}
	go pollensettings.Follow(ctx, pollensettings.FollowConfig{
		File: file, Interval: reloadInterval, Signals: hangups,
		Apply: func(data []byte) error {
			changed := pollenfront.DefaultSettings()
			if err := pollensettings.Parse(data, changed); err != nil {
				return err
			}
			f.Reload(changed)
			return nil
		},
	})
	return f.Run(ctx)
}

// reloadInterval is how often the settings file is looked at for a change that was not signalled.
const reloadInterval = 2 * time.Second

// logQueue is the number of log lines that wait for the output at most, some hundred kilobytes.
const logQueue = 512

func serve(ctx context.Context, file string) error {
	settings := polleninstance.DefaultSettings()
	if err := pollensettings.Load(file, settings); err != nil {
		return err
	}
	logger := pollenlog.Setup(os.Stderr, "pollenentry", settings.Name)
	return polleninstance.New(polleninstance.Dial(settings, logger)).Run(pollencommand.UntilSignal(ctx))
}

func check(file string, settings pollensettings.Checker) error {
	if err := pollensettings.Load(file, settings); err != nil {
		return err
	}
	fmt.Printf("%s: settings are valid\n", file)
	return nil
}
