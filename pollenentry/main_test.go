package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// commandEnv makes the test binary run the program with the command that it names.
const commandEnv = "POLLENENTRY_TEST_COMMAND"

func TestMain(m *testing.M) {
	if command := os.Getenv(commandEnv); command != "" {
		os.Args = []string{"pollenentry", command, "-settings", os.Getenv("POLLENENTRY_TEST_SETTINGS")}
		main()
	}
	os.Exit(m.Run())
}

// frontSettings uses a loopback address of its own, so that its ports are free. Nothing listens at the store's.
const frontSettings = `{
	"Name": "entry", "Zone": "z", "CallerAddress": "127.0.77.1:7101", "DirectoryAddress": "127.0.77.1:7102", "ReadinessAddress": "127.0.77.1:7103",
	"MetricsAddress": "127.0.77.1:7104", "PeerAddress": "127.0.77.1:7105", "StoreAddress": "127.0.77.1:7106", "ProcessorShare": 1, "StopTimeout": "100ms"
}`

// Guards against an instance that ends, with all its open requests, when the reader of its log has gone.
func TestInstanceOutlivesReaderOfItsLog(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "settings.json")
	c.Assert(os.WriteFile(file, []byte(frontSettings), 0o600), qt.IsNil)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	program, err := os.Executable()
	c.Assert(err, qt.IsNil)
	command := exec.Command(program)
	command.Env = append(os.Environ(), commandEnv+"=front", "POLLENENTRY_TEST_SETTINGS="+file)
	command.Stdout, command.Stderr = writer, os.Stderr
	c.Assert(command.Start(), qt.IsNil)
	c.Assert(writer.Close(), qt.IsNil)
	_, err = reader.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
	c.Assert(reader.Close(), qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	// The instance logs that the store does not answer.
	select {
	case err := <-ended:
		c.Fatalf("instance ended: %v", err)
	case <-time.After(2 * time.Second):
	}
	c.Assert(command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	c.Assert(<-ended, qt.IsNil)
}
