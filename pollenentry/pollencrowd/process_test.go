package pollencrowd

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/platform/pollenfakeplatform"
	"pollenline.example/pollen/pollenfakestore"
	"pollenline.example/pollen/pollenschema/pollenschemaconnect"
)

// process is a program of the system under test.
type process struct {
	command *exec.Cmd
	ended   chan error
	address netip.Addr
	log     string
	// stopWatch ends the watch of its memory; peak then holds the largest sum of resident memory and bytes in socket buffers.
	stopWatch chan struct{}
	watched   chan struct{}
	peak      int64
	// descriptors is the largest number of open descriptors that the watch saw.
	descriptors int
}

// The ports on which a process listens, at a loopback address of its own.
const (
	callerPort = 7100 + iota
	directoryPort
	readinessPort
	metricsPort
	peerPort
	operatorPort
)

// nextAddress counts the processes that were started.
var nextAddress atomic.Uint32

// programPath returns the path of the entry instances' executable, built unless POLLEN_PROGRAMS names its directory.
func programPath(t *testing.T) string {
	if directory := os.Getenv("POLLEN_PROGRAMS"); directory != "" {
		return filepath.Join(directory, "pollenentry")
	}
	file := filepath.Join(t.TempDir(), "pollenentry")
	build := exec.Command("go", "build", "-o", file, ".")
	build.Dir = ".."
	output, err := build.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	return file
}

// startProcess starts a subcommand with a limit on its descriptors, and watches its memory until checkLimits is called.
func startProcess(t *testing.T, c *qt.C, subcommand string, settings map[string]any, maxDescriptors int) *process {
	pid := os.Getpid()
	p := &process{
		ended: make(chan error, 1), stopWatch: make(chan struct{}), watched: make(chan struct{}),
		address: netip.AddrFrom4([4]byte{127, 180 + byte(pid>>8&15), byte(pid), 1 + byte(nextAddress.Add(1))}),
	}
	for field, port := range map[string]uint16{
		"CallerAddress": callerPort, "DirectoryAddress": directoryPort, "ReadinessAddress": readinessPort, "MetricsAddress": metricsPort,
		"PeerAddress": peerPort, "OperatorAddress": operatorPort,
	} {
		if subcommand == "front" && field != "OperatorAddress" || subcommand == "serve" && (port == callerPort || port >= peerPort) {
			settings[field] = p.listener(port)
		}
	}
	directory := t.TempDir()
	data, err := json.Marshal(settings)
	c.Assert(err, qt.IsNil)
	file := filepath.Join(directory, "settings.json")
	c.Assert(os.WriteFile(file, data, 0o600), qt.IsNil)
	p.log = filepath.Join(directory, "log")
	output, err := os.Create(p.log)
	c.Assert(err, qt.IsNil)
	defer output.Close()
	p.command = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, maxDescriptors), programPath(t), subcommand, "-settings", file)
	p.command.Stdout, p.command.Stderr = output, output
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Assert(p.command.Start(), qt.IsNil)
	go func() { p.ended <- p.command.Wait() }()
	t.Cleanup(func() {
		// It fails if the process has ended.
		_ = p.command.Process.Kill()
		if t.Failed() {
			t.Logf("end of the log:\n%s", p.logEnd())
		}
	})
	go p.watch()
	return p
}

// listener returns the address of one of the process's ports.
func (p *process) listener(port uint16) netip.AddrPort { return netip.AddrPortFrom(p.address, port) }

// logEnd returns the last lines that the process has written.
func (p *process) logEnd() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-4000):])
}

// watchInterval is how often the memory of a process is read.
const watchInterval = 20 * time.Millisecond

func (p *process) watch() {
	defer close(p.watched)
	for {
		select {
		case <-p.stopWatch:
			return
		case <-time.After(watchInterval):
		}
		p.sample()
	}
}

// sample reads the memory and the descriptors of the process once.
func (p *process) sample() {
	resident := p.statusBytes("VmHWM")
	p.peak = max(p.peak, resident+p.queuedBytes())
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)); err == nil {
		p.descriptors = max(p.descriptors, len(entries))
	}
}

// statusBytes returns a size from the status of the process, zero if the process has ended.
func (p *process) statusBytes(field string) int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), field+":"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// queuedBytes returns how many bytes the kernel holds for the process's connections at its listeners: those that were received and not
// read, and those that were written and not acknowledged.
func (p *process) queuedBytes() int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	ip := p.address.As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	total := int64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		const listening = "0A"
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == listening {
			continue
		}
		for _, queue := range strings.Split(fields[4], ":") {
			bytes, _ := strconv.ParseInt(queue, 16, 64)
			total += bytes
		}
	}
	return total
}

// checkLimits reads the memory a last time and ends the watch, and checks that the process lives and has stayed within its memory and descriptors.
func (p *process) checkLimits(c *qt.C, maxBytes int64, maxDescriptors int) {
	close(p.stopWatch)
	<-p.watched
	p.sample()
	select {
	case err := <-p.ended:
		c.Errorf("the process has ended: %v", err)
	default:
	}
	c.Logf("peak of %d MB, %d descriptors", p.peak>>20, p.descriptors)
	c.Check(p.peak <= maxBytes, qt.IsTrue, qt.Commentf("peak of %d MB, %d MB allowed", p.peak>>20, maxBytes>>20))
	c.Check(p.descriptors <= maxDescriptors, qt.IsTrue, qt.Commentf("%d descriptors, %d allowed", p.descriptors, maxDescriptors))
}

// stop sends SIGTERM and checks that the process ends by itself.
func (p *process) stop(c *qt.C) {
	c.Assert(p.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	select {
	case err := <-p.ended:
		c.Check(err, qt.IsNil)
	case <-time.After(patience):
		c.Errorf("the process has not ended %v after SIGTERM", patience)
	}
}

// patience bounds waits that end the test if they are exceeded; it is no bound on the system's speed.
const patience = 60 * time.Second

// waitFor waits until a condition holds.
func waitFor(c *qt.C, what string, condition func() bool) {
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.Fatalf("waited %v for %s", patience, what)
		}
	}
}

// serveUntilEnd serves a handler at a free loopback port until the test ends.
func serveUntilEnd(t *testing.T, c *qt.C, handler http.Handler) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("stand-in: %v", err)
		}
	}()
	t.Cleanup(func() { _ = server.Close() })
	return netip.MustParseAddrPort(listener.Addr().String())
}

// The host and the path prefix of the only route.
const (
	routeHost   = "crowd.example"
	routePrefix = "/one/"
)

// startFront starts an instance on a stand-in of the platform's store, with one backend server, and waits until it is ready.
func startFront(t *testing.T, c *qt.C, memoryMegabytes, maxDescriptors int) *process {
	store := pollenfakestore.New()
	_, err := pollenfakeplatform.PutConfiguration(t.Context(), store, pollenfakeplatform.Configuration{
		Version: 1, Services: []string{"x"}, Connections: 20, Routes: []pollenfakeplatform.Route{
			{Name: "one", Host: routeHost, Prefix: routePrefix, Idempotent: true, Service: "x", Timeout: 20 * time.Second, Objective: time.Second, Attempts: 2},
		},
	})
	c.Assert(err, qt.IsNil)
	server, err := pollenfakeplatform.StartServer(pollenfakeplatform.ServerConfig{
		ID: "i-1", Service: "x", Zone: "zone-a", Slots: 4, QueueLength: 16, MeanWork: time.Millisecond, Store: store,
		Ledger: pollenfakeplatform.NewLedger(), HeartbeatInterval: time.Second,
	})
	c.Assert(err, qt.IsNil)
	t.Cleanup(server.Kill)
	server.Advertise(server.Address())
	p := startProcess(t, c, "front", map[string]any{
		"Name": "entry", "Zone": "zone-a", "StoreAddress": serveUntilEnd(t, c, pollenfakeplatform.NewStoreHandler(store)), "ProcessorShare": 1,
		"MemoryMegabytes": memoryMegabytes, "RetryRatio": 0.2, "RetrySlack": 50,
	}, maxDescriptors)
	waitFor(c, "an instance that serves", func() bool {
		return pollReady(p.listener(readinessPort)) && requestOnce(t, p) == nil
	})
	return p
}

// pollReady reports whether the readiness check answers 200.
func pollReady(address netip.AddrPort) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address.String() + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// requestOnce sends an ordinary request, as the platform's callers do: it asks the directory where to connect and sends one request there.
func requestOnce(t *testing.T, p *process) error {
	caller := &pollenfakeplatform.Caller{Directories: []netip.AddrPort{p.listener(directoryPort)}, Pick: func(int) int { return 0 }}
	defer caller.Close()
	outcome := caller.Send(t.Context(), pollenfakeplatform.Request{
		ID: fmt.Sprintf("ordinary-%d", time.Now().UnixNano()), Method: http.MethodGet, Host: routeHost, Path: routePrefix + "x", Timeout: 10 * time.Second,
	})
	if outcome.Err != nil {
		return outcome.Err
	}
	if outcome.Status != http.StatusOK {
		return fmt.Errorf("status %d", outcome.Status)
	}
	return nil
}

// startServe starts an instance with the product's own interface, and waits until it answers callers.
func startServe(t *testing.T, c *qt.C, maxDescriptors int) *process {
	handler := pollenfakestore.NewHandler(pollenfakestore.HandlerConfig{Store: pollenfakestore.New(), WritesPerSecond: 1000, ReadsPerSecond: 1000})
	p := startProcess(t, c, "serve", map[string]any{"Name": "entry", "Zone": "zone-a", "StoreAddress": serveUntilEnd(t, c, handler)}, maxDescriptors)
	waitFor(c, "an instance that serves", func() bool { return locate(p) == nil })
	return p
}

// locate asks an instance with the product's own interface for the instances that it lists.
func locate(p *process) error {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+p.listener(callerPort).String()+pollenschemaconnect.EntryLocateProcedure, "application/json", strings.NewReader("{}"))
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
