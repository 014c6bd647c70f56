package pollenfleet

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a child process with its settings file and its log file.
type Process struct {
	Name    string
	command *exec.Cmd
	ended   chan struct{}
	err     error
}

// StartError reports a process that could not be started or an instance that did not list all others in time.
type StartError struct {
	Name string
	Err  error
}

func (e *StartError) Error() string { return fmt.Sprintf("cannot start %s: %v", e.Name, e.Err) }

func (e *StartError) Unwrap() error { return e.Err }

// StartProcess writes the settings to NAME.json and starts a program with them, whose output is appended to NAME.log.
func StartProcess(directory, name, program, subcommand string, settings any) (*Process, error) {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, &StartError{Name: name, Err: err}
	}
	file := filepath.Join(directory, name+".json")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return nil, &StartError{Name: name, Err: err}
	}
	output, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, &StartError{Name: name, Err: err}
	}
	defer output.Close()
	p := &Process{Name: name, command: exec.Command(program, subcommand, "-settings", file), ended: make(chan struct{})}
	p.command.Stdout = output
	p.command.Stderr = output
	// The kernel kills the child if this process dies.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, &StartError{Name: name, Err: err}
	}
	go func() {
		p.err = p.command.Wait()
		close(p.ended)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	return p.command.Process.Signal(signal)
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Stop sends SIGTERM and returns the process's exit error, or a *StopError if it has not ended within the limit.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
		return p.err
	case <-time.After(limit):
		return &StopError{Name: p.Name, Limit: limit}
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// StopError reports a process that did not end within the time limit of its shutdown.
type StopError struct {
	Name  string
	Limit time.Duration
}

func (e *StopError) Error() string { return fmt.Sprintf("%s did not end within %v", e.Name, e.Limit) }
