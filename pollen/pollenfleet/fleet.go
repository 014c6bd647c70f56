package pollenfleet

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"pollenline.example/pollen/pollencaller"
	"pollenline.example/pollen/pollenfakehost"
	"pollenline.example/pollen/pollenfakeserver"
	"pollenline.example/pollen/pollenfakestore"
	"pollenline.example/pollen/pollenfirm"
	"pollenline.example/pollen/polleninstance"
	"pollenline.example/pollen/polleninventory"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollenschema/pollenschemaconnect"
	"pollenline.example/pollen/pollensettings"
)

// Config holds the firm, the directories and the size of a Fleet.
type Config struct {
	Firm *pollenfirm.Firm
	// Programs is the directory of the built programs.
	Programs string
	// Directory is the directory for settings and logs.
	Directory string
	// Instances is the number of entry instances.
	Instances int
	// ColdTime is how long a backend server takes to warm up.
	ColdTime time.Duration
	// Baseline is the Baseline setting of the instances.
	Baseline string
	// StoreWritesPerSecond and StoreReadsPerSecond are the rate limits of the store; zero selects the platform's limits.
	StoreWritesPerSecond float64
	StoreReadsPerSecond  float64
}

// Fleet is a set of running processes: entry instances, fake backend servers, the store and the instance list.
type Fleet struct {
	config Config
	// Settings and Instances hold the settings and the process of each entry instance, by the same index.
	Settings  []*polleninstance.Settings
	Instances []*Process
	// Servers holds all fake backend servers of the firm.
	Servers []pollenfirm.Server
	// hosts holds the host of each fake backend server by the server's name.
	hosts        map[string]*serverHost
	processes    []*Process
	storeAddress netip.AddrPort
}

// serverHost holds a process that runs fake backend servers and its settings.
type serverHost struct {
	process  *Process
	settings *pollenfakehost.ServersSettings
}

const (
	// The platform's rate limits of the store.
	storeWritesPerSecond = 400
	storeReadsPerSecond  = 2000
	// coldFactor is how many times slower a backend server is right after a cold start.
	coldFactor        = 4
	startTimeout      = 15 * time.Second
	startPollInterval = 20 * time.Millisecond
	callTimeout       = 8 * time.Second
	storePort         = 7000
	inventoryPort     = 7001
	// inventoryLag is the delay after which the instance list shows a change.
	inventoryLag = 10 * time.Second
	callerPort   = 7100
	operatorPort = 7101
	peerPort     = 7102
	controlPort  = 7200
	serverPort   = 8000
	// instancesPerSubnet bounds the last octet of the addresses of instances.
	instancesPerSubnet = 250
)

// Start starts the fakes and the entry instances and waits until every instance lists all others.
//
// If it fails, it kills the processes that it has started.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	f := &Fleet{config: config, hosts: make(map[string]*serverHost)}
	f.storeAddress = f.address(0, 1, storePort)
	f.Servers = config.Firm.Servers(func(n int) netip.AddrPort { return f.address(250, 1+n%200, serverPort+n/200) })
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close kills all processes of the fleet that still run.
func (f *Fleet) Close() {
	for _, p := range f.processes {
		if !p.Ended() {
			p.Kill()
		}
	}
}

// Restart starts the entry instance with the given index again; its former process must have ended.
func (f *Fleet) Restart(n int) error {
	p, err := StartProcess(f.config.Directory, f.Settings[n].Name, f.program("pollenentry"), "serve", f.Settings[n])
	if err != nil {
		return err
	}
	f.Instances[n] = p
	f.processes = append(f.processes, p)
	return nil
}

// Operator returns a client of one instance's operator interface.
func (f *Fleet) Operator(n int) pollenschemaconnect.OperateClient {
	return pollenschemaconnect.NewOperateClient(http.DefaultClient, "http://"+f.Settings[n].OperatorAddress.String())
}

// Caller returns a caller with the addresses of all instances.
func (f *Fleet) Caller(name, zone string) *pollencaller.Caller {
	var addresses []netip.AddrPort
	for _, s := range f.Settings {
		addresses = append(addresses, s.CallerAddress)
	}
	return pollencaller.New(pollencaller.Config{Name: name, Zone: zone, Addresses: addresses})
}

// Apply sends changes under one change id to each running instance in turn until one succeeds.
func (f *Fleet) Apply(ctx context.Context, changeID string, changes ...*pollenschema.Change) (*pollenschema.ApplyResponse, error) {
	var lastErr error
	for n, p := range f.Instances {
		if p.Ended() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		response, err := f.Operator(n).Apply(callCtx, &pollenschema.ApplyRequest{ChangeId: changeID, Changes: changes})
		cancel()
		if err == nil {
			return response, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// CreateServices creates the firm's availability zones and services.
func (f *Fleet) CreateServices(ctx context.Context, snapshot string) error {
	var changes []*pollenschema.Change
	for _, zone := range f.config.Firm.Zones {
		changes = append(changes, PutZone(zone, pollenschema.Admin_ADMIN_IN))
	}
	for _, service := range f.config.Firm.Services(f.Servers, snapshot) {
		changes = append(changes, &pollenschema.Change{Kind: &pollenschema.Change_PutService{PutService: service}})
	}
	_, err := f.Apply(ctx, "create", changes...)
	return err
}

// PutZone returns a change that sets the state of an availability zone.
func PutZone(name string, state pollenschema.Admin) *pollenschema.Change {
	return &pollenschema.Change{Kind: &pollenschema.Change_PutZone{PutZone: &pollenschema.Zone{Name: name, State: state}}}
}

// SetFaults replaces the injected faults of a backend server.
func (f *Fleet) SetFaults(ctx context.Context, server string, faults pollenfakeserver.Faults) error {
	return f.postControl(ctx, server, pollenfakeserver.PathFaults, faults, nil)
}

// RestartServer restarts a backend server cold.
func (f *Fleet) RestartServer(ctx context.Context, server string) error {
	return f.postControl(ctx, server, pollenfakeserver.PathRestart, struct{}{}, nil)
}

// SilenceConnections makes half of a backend server's open connections unresponsive.
func (f *Fleet) SilenceConnections(ctx context.Context, server string) error {
	return f.postControl(ctx, server, pollenfakeserver.PathSilence, struct{}{}, nil)
}

// Ledger returns the ledger of a backend server.
func (f *Fleet) Ledger(ctx context.Context, server string) (pollenfakeserver.Ledger, error) {
	var ledger pollenfakeserver.Ledger
	err := f.postControl(ctx, server, pollenfakeserver.PathLedger, struct{}{}, &ledger)
	return ledger, err
}

// SetStoreFaults replaces the injected faults of the store.
func (f *Fleet) SetStoreFaults(ctx context.Context, faults pollenfakestore.Faults) error {
	return post(ctx, fmt.Sprintf("http://%s%s", f.storeAddress, pollenfakestore.PathFaults), faults, nil)
}

// StoreCalls returns the number of calls to the store by their name.
func (f *Fleet) StoreCalls(ctx context.Context) (map[string]int, error) {
	calls := make(map[string]int)
	err := post(ctx, fmt.Sprintf("http://%s%s", f.storeAddress, pollenfakestore.PathCalls), struct{}{}, &calls)
	return calls, err
}

// HostProcess returns the process that runs a backend server.
func (f *Fleet) HostProcess(server string) *Process { return f.hosts[server].process }

// address returns a loopback address; subnet 0 holds the store and the instance list, 250 the backend servers, 251 their
// control interfaces, and the others the entry instances, by zone.
func (f *Fleet) address(subnet, host, port int) netip.AddrPort {
	// The second octet separates the fleets of concurrent runs.
	secondOctet := byte(16 + os.Getpid()%200)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, secondOctet, byte(subnet), byte(host)}), uint16(port))
}

func (f *Fleet) program(name string) string { return filepath.Join(f.config.Programs, name) }

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startFakes(); err != nil {
		return err
	}
	for n := range f.config.Instances {
		if err := f.startInstance(n); err != nil {
			return err
		}
	}
	return f.waitUntilListed(ctx, f.config.Instances)
}

func (f *Fleet) startFakes() error {
	settings := &pollenfakehost.StoreSettings{
		Address:         f.storeAddress,
		WritesPerSecond: cmp.Or(f.config.StoreWritesPerSecond, storeWritesPerSecond),
		ReadsPerSecond:  cmp.Or(f.config.StoreReadsPerSecond, storeReadsPerSecond),
	}
	p, err := StartProcess(f.config.Directory, "store", f.program("pollenstandin"), "store", settings)
	if err != nil {
		return err
	}
	f.processes = append(f.processes, p)
	inventory := &pollenfakehost.InventorySettings{Address: f.address(0, 2, inventoryPort), Lag: pollensettings.Duration(inventoryLag)}
	for n := range f.config.Instances {
		settings := f.instanceSettings(n)
		inventory.Instances = append(inventory.Instances, polleninventory.Entry{
			Name: settings.Name, PeerAddress: settings.PeerAddress, State: polleninventory.StateLive,
		})
	}
	if p, err = StartProcess(f.config.Directory, "inventory", f.program("pollenstandin"), "inventory", inventory); err != nil {
		return err
	}
	f.processes = append(f.processes, p)
	// The first server has its own process, so that it can be killed alone; the others share one process per zone.
	if err := f.startServers(0, "server", f.Servers[:1]); err != nil {
		return err
	}
	for n, zone := range f.config.Firm.Zones {
		var servers []pollenfirm.Server
		for _, s := range f.Servers[1:] {
			if s.Zone == zone {
				servers = append(servers, s)
			}
		}
		if err := f.startServers(n+1, "servers-"+zone, servers); err != nil {
			return err
		}
	}
	return nil
}

// startServers starts a process that runs the given backend servers; hostIndex selects its control address.
func (f *Fleet) startServers(hostIndex int, name string, servers []pollenfirm.Server) error {
	settings := &pollenfakehost.ServersSettings{ControlAddress: f.address(251, 1+hostIndex, controlPort)}
	for _, s := range servers {
		settings.Servers = append(settings.Servers, pollenfakehost.ServerSettings{
			Name: s.Name, Address: s.Address, Slots: s.Family.Slots, Connections: s.Family.Connections,
			ConnectTime: pollensettings.Duration(s.Family.ConnectTime),
			ServiceTime: pollensettings.Duration(s.Family.ServiceTime), ShardTime: pollensettings.Duration(s.Family.ShardTime),
			ColdTime: pollensettings.Duration(f.config.ColdTime), ColdFactor: coldFactor, Warm: true,
		})
	}
	p, err := StartProcess(f.config.Directory, name, f.program("pollenstandin"), "servers", settings)
	if err != nil {
		return err
	}
	f.processes = append(f.processes, p)
	for _, s := range servers {
		f.hosts[s.Name] = &serverHost{process: p, settings: settings}
	}
	return nil
}

func (f *Fleet) startInstance(n int) error {
	f.Settings = append(f.Settings, f.instanceSettings(n))
	f.Instances = append(f.Instances, nil)
	return f.Restart(n)
}

func (f *Fleet) instanceSettings(n int) *polleninstance.Settings {
	zones := f.config.Firm.Zones
	zone := n % len(zones)
	settings := polleninstance.DefaultSettings()
	settings.Name = fmt.Sprintf("entry-%d", n+1)
	settings.Zone = zones[zone]
	subnet, host := 1+zone+len(zones)*(n/instancesPerSubnet), 1+n%instancesPerSubnet
	settings.CallerAddress = f.address(subnet, host, callerPort)
	settings.OperatorAddress = f.address(subnet, host, operatorPort)
	settings.PeerAddress = f.address(subnet, host, peerPort)
	settings.StoreAddress = f.storeAddress
	settings.Baseline = f.config.Baseline
	settings.InventoryAddress = f.address(0, 2, inventoryPort)
	return settings
}

// waitUntilListed waits until every instance returns want instances to a Locate call.
func (f *Fleet) waitUntilListed(ctx context.Context, want int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for n := range f.Settings {
		for !f.listsInstances(ctx, n, want) {
			if ctx.Err() != nil {
				return &StartError{Name: f.Settings[n].Name, Err: ctx.Err()}
			}
			time.Sleep(startPollInterval)
		}
	}
	return nil
}

func (f *Fleet) listsInstances(ctx context.Context, n, want int) bool {
	client := pollenschemaconnect.NewEntryClient(http.DefaultClient, "http://"+f.Settings[n].CallerAddress.String())
	response, err := client.Locate(ctx, &pollenschema.LocateRequest{Caller: "pollenfleet"})
	return err == nil && len(response.Instances) == want
}

func (f *Fleet) postControl(ctx context.Context, server, path string, request, answer any) error {
	host := f.hosts[server]
	return post(ctx, fmt.Sprintf("http://%s/%s%s", host.settings.ControlAddress, server, path), request, answer)
}

func post(ctx context.Context, url string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &ControlError{URL: url, Status: response.StatusCode}
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

// ControlError reports a control request that a fake answered with an HTTP status other than 200.
type ControlError struct {
	URL    string
	Status int
}

func (e *ControlError) Error() string {
	return fmt.Sprintf("control request to %s failed: HTTP status %d", e.URL, e.Status)
}
