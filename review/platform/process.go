package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// runs holds the servers that ran each request.
	runs map[string][]string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now(), runs: make(map[string][]string)}, nil
}

func (r *record) printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, a...)
}

func (r *record) write(format string, a ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// run records that a server begins to run a request.
func (r *record) run(s *server, id string, work time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], s.id)
	r.write("server %s runs %s for %v", s.id, id, work)
}

// ranOn returns the servers that ran a request.
func (r *record) ranOn(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// entry is a process of the entry instance.
type entry struct {
	name, zone string
	ip         string
	caller     string
	ready      string
	directory  string
	settings   string
	cmd        *exec.Cmd
	exited     chan struct{}
}

// fleet holds the entry instances of a case.
type fleet struct {
	program   string
	directory string
	record    *record
	store     *store
	entries   []*entry
	// extra holds further settings of the processes.
	extra map[string]any
}

// freePort returns a port of an address that nothing listens on.
func freePort(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("no free port: %v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// add writes the settings of an instance as deploy/settings.json does for a small deployment.
func (f *fleet) add(name, zone string, number int) *entry {
	ip := fmt.Sprintf("127.41.%d.%d", os.Getpid()%250+1, number+1)
	e := &entry{name: name, zone: zone, ip: ip, caller: freePort(ip), ready: freePort(ip), directory: freePort(ip)}
	settings := map[string]any{
		"Name": name, "Zone": zone, "CallerAddress": e.caller, "DirectoryAddress": e.directory, "ReadinessAddress": e.ready,
		"MetricsAddress": freePort(ip), "StoreAddress": f.store.address(), "PeerAddress": freePort(ip), "SeedAddresses": []string{},
		"ProcessorShare": 0.4, "FirstStart": true, "MemoryMegabytes": 284, "RetryRatio": 0.2, "RetrySlack": 58, "RetryWindow": "10s",
		"StopTimeout": "6s", "DrainNotice": "3000ms", "ConfigurationDelay": "3000ms", "LongestLifetime": "5s",
	}
	maps.Copy(settings, f.extra)
	data, err := json.Marshal(settings)
	if err != nil {
		fail("%v", err)
	}
	e.settings = filepath.Join(f.directory, name+".json")
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		fail("%v", err)
	}
	f.entries = append(f.entries, e)
	return e
}

// start starts the process of an instance.
func (f *fleet) start(e *entry) {
	log, err := os.Create(filepath.Join(f.directory, e.name+".log"))
	if err != nil {
		fail("%v", err)
	}
	defer log.Close()
	e.cmd = exec.Command(f.program, "front")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "POLLENLINE_CONFIG=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	// A case that ends in an unexpected way leaves no process behind.
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		fail("start of %s: %v", e.name, err)
	}
	exited := make(chan struct{})
	e.exited = exited
	cmd := e.cmd
	f.record.printf("process %s started", e.name)
	go func() {
		err := cmd.Wait()
		f.record.printf("process %s ended: %v", e.name, err)
		close(exited)
	}()
}

// startAll starts all instances and waits until they are ready.
func (f *fleet) startAll() error {
	for _, e := range f.entries {
		f.start(e)
	}
	for _, e := range f.entries {
		if err := e.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (e *entry) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + e.ready + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", e.name)
}

func (e *entry) signal(s syscall.Signal) { e.cmd.Process.Signal(s) }

// killAll ends all processes that the case started.
func (f *fleet) killAll() {
	for _, e := range f.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			e.cmd.Process.Kill()
			<-e.exited
		}
	}
}

// client is a caller with one kept connection.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// errNoAnswer is the result of a request whose connection ended without a complete answer.
var errNoAnswer = errors.New("connection ended without a complete answer")

// result is the answer to a request.
type result struct {
	status int
	stamp  string
	body   string
	close  bool
	after  string
}

// send sends a request and waits for its answer.
func (c *client) send(rec *record, method, path, id, body string, deadline time.Duration) (result, error) {
	rec.printf("client sends %s %s %s", id, method, path)
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.conn.SetDeadline(time.Now().Add(deadline))
	res, err := c.exchange(text + "\r\n" + body)
	if err != nil {
		rec.printf("client has no answer to %s: %v", id, err)
		return res, err
	}
	rec.printf("client has answer to %s: status %d, stamp %q, retry after %q, body %q", id, res.status, res.stamp, res.after, res.body)
	return res, nil
}

func (c *client) exchange(text string) (result, error) {
	if _, err := io.WriteString(c.conn, text); err != nil {
		return result{}, fmt.Errorf("%w: %v", errNoAnswer, err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return result{}, noAnswer(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return result{}, noAnswer(err)
	}
	return result{
		status: response.StatusCode, stamp: response.Header.Get("Server-Stamp"), body: string(body), close: response.Close,
		after: response.Header.Get("Retry-After"),
	}, nil
}

// noAnswer tells a connection that ended from a caller that has waited for its whole deadline.
func noAnswer(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return fmt.Errorf("%w: %v", errNoAnswer, err)
}
