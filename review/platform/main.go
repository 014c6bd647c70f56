// Command review-standin runs one case of the review: a stand-in of the store, stand-ins of servers and clients, and processes of the entry
// instance. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// verdict is what a case has found.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(f *fleet, trouble bool) (verdict, error){
	"ghost":   runGhost,
	"restart": runRestart,
	"version": runVersion,
	"term":    runTerm,
	"extra":   runExtra,
}

func main() { os.Exit(run()) }

func run() (status int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(directory)
	} else {
		fmt.Println("logs are in", directory)
	}
	f := &fleet{program: "target/pollenentry", directory: directory, record: rec}
	defer f.killAll()
	defer func() {
		if cause := recover(); cause != nil {
			rec.printf("could not run: %v", cause)
			fmt.Println("could not run:", cause)
			status = 2
		}
	}()
	if f.store, err = newStore(); err != nil {
		fail("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.killAll()
		os.Exit(2)
	}()
	v, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fail("%v", err)
	case v.broken:
		rec.printf("BROKEN: %s", v.text)
		fmt.Println("BROKEN:", v.text)
		return 1
	}
	rec.printf("HELD: %s", v.text)
	fmt.Println("HELD:", v.text)
	return 0
}
