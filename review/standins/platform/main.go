// The harness of the second review: stand-ins of the platform's store, of servers and of clients, and the cases that use them. It starts
// the project's program as separate processes on loopback addresses.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record holds what was sent, answered and run, and writes it to a file at the end.
type record struct {
	mu       sync.Mutex
	start    time.Time
	lines    []string
	arrivals []arrival
	runs     map[string][]string
}

type arrival struct {
	server, request string
	at              time.Time
}

func newRecord() *record { return &record{start: time.Now(), runs: map[string][]string{}} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)))
}

func (r *record) arrival(server, request string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{server, request, at})
}

func (r *record) run(server, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[request] = append(r.runs[request], server)
}

func (r *record) write(dir string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		cannotRun("record: %v", err)
	}
	defer f.Close()
	for _, line := range r.lines {
		fmt.Fprintln(f, line)
	}
}

// cleanup ends all processes that were started.
var cleanup []func()

func endAll() {
	for i := len(cleanup) - 1; i >= 0; i-- {
		cleanup[i]()
	}
	cleanup = nil
}

// cannotRun ends the case with the status of one that could not run.
func cannotRun(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	endAll()
	os.Exit(2)
}

// usedPorts holds the ports that freePort has given out.
var usedPorts = map[int]bool{}

func freePort() int {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cannotRun("port: %v", err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if !usedPorts[port] {
			usedPorts[port] = true
			return port
		}
	}
}

// instance is one process of the project's program.
type instance struct {
	name, zone                    string
	http, admin, directory, ready string
	process                       *os.Process
	exited                        chan struct{}
}

// fleet holds what the instances of a case have in common.
type fleet struct {
	root, temp, storeAddress string
	instances                []*instance
}

// startFleet starts a store and the instances, which are spread over three zones.
func startFleet(root string, s *store, count int) *fleet {
	temp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		cannotRun("%v", err)
	}
	cleanup = append(cleanup, func() { _ = os.RemoveAll(temp) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	go func() { _ = http.Serve(listener, s) }()
	f := &fleet{root: root, temp: temp, storeAddress: listener.Addr().String()}
	for i := range count {
		address := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }
		f.instances = append(f.instances, &instance{
			name: fmt.Sprintf("frontend-%c-%d", 'a'+i%3, i/3+1), zone: fmt.Sprintf("zone-%c", 'a'+i%3),
			http: address(), admin: address(), directory: address(), ready: address(),
		})
	}
	for _, i := range f.instances {
		f.start(i)
	}
	return f
}

// start starts the process of an instance by the commands of the deploy file, with settings as the template renders them.
func (f *fleet) start(i *instance) {
	var seeds []string
	for _, other := range f.instances[:min(3, len(f.instances))] {
		seeds = append(seeds, other.admin)
	}
	settings := mustJSON(map[string]any{
		"Name": i.name, "Zone": i.zone, "CallerAddress": i.http, "DirectoryAddress": i.directory, "ReadinessAddress": i.ready,
		"MetricsAddress": fmt.Sprintf("127.0.0.1:%d", freePort()), "StoreAddress": f.storeAddress, "PeerAddress": i.admin,
		"SeedAddresses": seeds, "ProcessorShare": 0.4, "FirstStart": true, "MemoryMegabytes": 284,
		"RetryRatio": 0.2, "RetrySlack": 58, "RetryWindow": "10s", "StopTimeout": "6s", "DrainNotice": "3000ms",
		"ConfigurationDelay": "3000ms", "LongestLifetime": "5s",
	})
	file := filepath.Join(f.temp, i.name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		cannotRun("%v", err)
	}
	log, err := os.Create(filepath.Join(f.temp, i.name+".log"))
	if err != nil {
		cannotRun("%v", err)
	}
	command := exec.Command(filepath.Join(f.root, "target/pollenentry"), "front")
	command.Dir, command.Env = f.root, []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.temp, "LANG=C", "POLLENLINE_CONFIG=" + file}
	command.Stdout, command.Stderr = log, log
	// The process ends with the harness, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		cannotRun("%v", err)
	}
	exited := make(chan struct{})
	i.process, i.exited = command.Process, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	process := command.Process
	cleanup = append(cleanup, func() {
		_ = process.Kill()
		<-exited
		_ = log.Close()
		if os.Getenv("KEEP_LOGS") != "" {
			data, _ := os.ReadFile(log.Name())
			_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), filepath.Base(log.Name())), data, 0o600)
		}
	})
}

// logged returns the lines of an instance's log that hold all of some texts.
func (f *fleet) logged(i *instance, texts ...string) []string {
	data, err := os.ReadFile(filepath.Join(f.temp, i.name+".log"))
	if err != nil {
		return nil
	}
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		found := line != ""
		for _, text := range texts {
			found = found && strings.Contains(line, text)
		}
		if found {
			lines = append(lines, line)
		}
	}
	return lines
}

// awaitReady waits until all instances are ready.
func (f *fleet) awaitReady() {
	limit := time.Now().Add(20 * time.Second)
	for _, i := range f.instances {
		for {
			response, err := http.Get("http://" + i.ready + "/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(limit) {
				cannotRun("instance %s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// caller is a client with one kept connection to an instance.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// send sends one request over the kept connection, and returns the status of the answer, 0 without one.
func (c *caller) send(r *record, method, host, path, id string, deadline time.Duration) (status int, body string) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			r.add("client: request %s: no connection: %v", id, err)
			return 0, ""
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	r.add("client: request %s is sent to %s", id, c.address)
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline: %d\r\n\r\n", method, path, host, id, deadline.Milliseconds())
	response, err := http.ReadResponse(c.reader, nil)
	var data []byte
	if err == nil {
		data, err = io.ReadAll(response.Body)
	}
	if err != nil {
		r.add("client: request %s ends without an answer: %v", id, err)
		_ = c.conn.Close()
		c.conn = nil
		return 0, ""
	}
	r.add("client: request %s is answered with %d (%s)", id, response.StatusCode, string(data[:min(len(data), 100)]))
	if response.Close {
		_ = c.conn.Close()
		c.conn = nil
	}
	return response.StatusCode, string(data)
}

var cases = map[string]func(root, dir string, trouble bool) (broken []string){
	"drain":    drainCase,
	"storm":    stormCase,
	"evacuate": evacuateCase,
	"exit":     exitCase,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: harness CASE ROOT DIR")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Println("cases:", names)
		os.Exit(2)
	}
	// Pdeathsig is sent when the thread that has started a process ends.
	runtime.LockOSThread()
	time.AfterFunc(110*time.Second, func() { cannotRun("takes too long") })
	broken := run(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	endAll()
	for _, b := range broken {
		fmt.Println(b)
	}
	if len(broken) > 0 {
		fmt.Println("the rule is broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
