package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"pollenline.example/pollen/pollenconfig"
	"pollenline.example/pollen/pollenfirm"
	"pollenline.example/pollen/pollenfleet"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollentraffic"
)

const (
	// serversPerService and shardsPerServer set the size of the services for which tables are measured.
	serversPerService = 630
	shardsPerServer   = 1
	slopeZoneCount    = 10
	slopeDuration     = 10 * time.Second
)

// runSlopes measures how the costs of tables, memberships, idle fleets and traffic grow, and prints a line for each size.
func runSlopes(ctx context.Context, programs string, instances []int) error {
	fmt.Println("Table slopes: one process, services of 630 servers with 630 shards of two replicas each")
	for _, servers := range []int{100, 1_000, 10_000, 41_000} {
		if err := measureTable(servers); err != nil {
			return &StepError{Step: "table slope", Err: err}
		}
	}
	fmt.Println("Membership slopes: a new table with other instances and owners; preferred owners of all groups")
	for _, n := range []int{9, 30, 100, 300, 1_000, 7_300} {
		measureMembership(n)
	}
	fmt.Printf("Fleet slopes: idle processes over 110 backend servers, the store's limits raised above %d instances\n", maxInstancesWithStoreLimits)
	for _, n := range instances {
		if err := measureFleet(ctx, programs, n); err != nil {
			return err
		}
	}
	fmt.Println("Traffic slopes: 9 processes under load; processor time of the instances for each sub-query sent")
	return measureTraffic(ctx, programs)
}

// slopeConfiguration returns a configuration with the given number of servers, in services of serversPerService, and the
// size of its documents in bytes.
func slopeConfiguration(servers int) (*pollenconfig.Configuration, int, error) {
	var changes []*pollenschema.Change
	for z := range slopeZoneCount {
		changes = append(changes, pollenfleet.PutZone(fmt.Sprintf("zone-%d", z), pollenschema.Admin_ADMIN_IN))
	}
	for first := 0; first < servers; first += serversPerService {
		changes = append(changes, &pollenschema.Change{Kind: &pollenschema.Change_PutService{
			PutService: slopeService(first/serversPerService, min(serversPerService, servers-first)),
		}})
	}
	c := pollenconfig.Empty()
	documents, err := c.Apply(changes)
	if err != nil {
		return nil, 0, err
	}
	bytes := 0
	for _, d := range documents {
		bytes += len(d.Body)
	}
	c, err = c.Update(1, "slope", documents)
	return c, bytes, err
}

func slopeService(number, servers int) *pollenschema.Service {
	service := &pollenschema.Service{Name: fmt.Sprintf("service-%d", number), Preference: pollenschema.Preference_PREFERENCE_LATENCY}
	for n := range servers {
		service.Servers = append(service.Servers, &pollenschema.BackendServer{
			Name: fmt.Sprintf("server-%d-%d", number, n), Zone: fmt.Sprintf("zone-%d", n%slopeZoneCount),
			Address: fmt.Sprintf("127.0.%d.%d:8000", n/250, 1+n%250), Slots: 4, Connections: 45, State: pollenschema.Admin_ADMIN_IN,
		})
	}
	family := pollenfirm.Family{Indexes: []string{"index"}, Shards: servers * shardsPerServer}
	service.Snapshots = []*pollenschema.Snapshot{pollenfirm.Snapshot(family, service, "v1")}
	return service
}

// measureTable measures the heap of a configuration and its table, and the time to build and to update them.
func measureTable(servers int) error {
	before := heapBytes()
	c, bytes, err := slopeConfiguration(servers)
	if err != nil {
		return err
	}
	configured := heapBytes()
	started := time.Now()
	table, err := pollenroute.Build(c)
	if err != nil {
		return err
	}
	built := time.Since(started)
	after := heapBytes()
	started = time.Now()
	name := "service-0"
	d := c.Documents["service/"+name]
	d.Revision = 2
	if _, err := c.Update(2, "change", []pollenconfig.Document{d}); err != nil {
		return err
	}
	updated := time.Since(started)
	fmt.Printf("Slope Table Servers=%d DocumentBytes=%d ConfigurationHeap=%d TableHeap=%d BuildMicroseconds=%d UpdateMicroseconds=%d Groups=%d\n",
		servers, bytes, configured-before, after-configured, built.Microseconds(), updated.Microseconds(), len(table.GroupsWithServers))
	runtime.KeepAlive(c)
	runtime.KeepAlive(table)
	return nil
}

// heapBytes returns the size of live heap objects after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// measureMembership measures the time to publish a table with n instances and to find the preferred owners of all groups.
func measureMembership(n int) {
	table := &pollenroute.Table{}
	instances := make([]pollenroute.Instance, 0, n)
	for i := range n {
		instances = append(instances, pollenroute.Instance{
			Name: fmt.Sprintf("entry-%d", i), Incarnation: fmt.Sprintf("incarnation-%d", i), Zone: fmt.Sprintf("zone-%d", i%slopeZoneCount), Claims: true,
		})
	}
	groups := make([]pollenroute.Group, 0, slopeZoneCount*pollenroute.GroupsPerZone)
	for z := range slopeZoneCount {
		for g := range pollenroute.GroupsPerZone {
			groups = append(groups, pollenroute.Group{Zone: fmt.Sprintf("zone-%d", z), Number: g})
		}
	}
	owners := make(map[pollenroute.Group]pollenroute.Instance, len(groups))
	before := heapBytes()
	started := time.Now()
	next := table.WithOwners(instances[0], instances, owners)
	published := time.Since(started)
	started = time.Now()
	candidates := next.Candidates()
	for _, g := range groups {
		owners[g], _ = candidates.Preferred(g)
	}
	preferred := time.Since(started)
	fmt.Printf("Slope Membership Instances=%d Groups=%d TableMicroseconds=%d PreferredMicroseconds=%d Heap=%d\n",
		n, len(groups), published.Microseconds(), preferred.Microseconds(), heapBytes()-before)
	runtime.KeepAlive(next)
	runtime.KeepAlive(owners)
}

// measureTraffic measures the processor time that the instances use per sub-query, at three query rates.
func measureTraffic(ctx context.Context, programs string) error {
	fleet, firm, closeFleet, err := startFleet(ctx, programs, "vunivalu", demoInstances, "")
	defer closeFleet()
	if err != nil {
		return err
	}
	for _, rate := range []float64{150, 300, 600} {
		generator := pollentraffic.NewGenerator(pollentraffic.Config{
			Firm: firm, Callers: fleetCallers(fleet, firm), Rate: rate, Timeout: demoQueryTimeout, Seed: 1,
		})
		before, err := fleet.Counters(ctx)
		if err != nil {
			return &StepError{Step: "metrics", Err: err}
		}
		generator.Run(ctx, slopeDuration)
		after, err := fleet.Counters(ctx)
		if err != nil {
			return &StepError{Step: "metrics", Err: err}
		}
		sent, total := after.SubQueriesSent-before.SubQueriesSent, generator.Tally().Total()
		fmt.Printf("Slope Traffic QueriesPerSecond=%.0f Queries=%d SubQueries=%.0f CoreSeconds=%.2f MicrosecondsPerSubQuery=%.0f P50=%v P99=%v\n",
			rate, total.Requests, sent, after.CPUSeconds-before.CPUSeconds, 1e6*(after.CPUSeconds-before.CPUSeconds)/sent, total.P50, total.P99)
	}
	return nil
}

// measureFleet starts an idle fleet and measures it once it has had time to become stable.
func measureFleet(ctx context.Context, programs string, instances int) error {
	fleet, _, closeFleet, err := startFleet(ctx, programs, "vunivalu", instances, "")
	defer closeFleet()
	if err != nil {
		return err
	}
	time.Sleep(slopeDuration / 2)
	return measureIdleFleet(ctx, fleet, instances)
}

// measureIdleFleet measures the store calls, processor time, peer traffic and memory of a fleet without queries.
func measureIdleFleet(ctx context.Context, fleet *pollenfleet.Fleet, instances int) error {
	callsBefore, err := fleet.StoreCalls(ctx)
	if err != nil {
		return &StepError{Step: "store calls", Err: err}
	}
	before, err := fleet.Counters(ctx)
	if err != nil {
		return &StepError{Step: "metrics", Err: err}
	}
	started := time.Now()
	time.Sleep(slopeDuration)
	after, err := fleet.Counters(ctx)
	if err != nil {
		return &StepError{Step: "metrics", Err: err}
	}
	callsAfter, err := fleet.StoreCalls(ctx)
	if err != nil {
		return &StepError{Step: "store calls", Err: err}
	}
	seconds, n := time.Since(started).Seconds(), float64(instances)
	writes := float64(callsAfter["Renew"]+callsAfter["CompareAndSwap"]+callsAfter["Grant"]-callsBefore["Renew"]-callsBefore["CompareAndSwap"]-callsBefore["Grant"]) / seconds
	reads := float64(callsAfter["Watch"]+callsAfter["Get"]+callsAfter["List"]-callsBefore["Watch"]-callsBefore["Get"]-callsBefore["List"]) / seconds
	fmt.Printf("Slope Fleet Instances=%d StoreWritesPerSecond=%.1f StoreReadsPerSecond=%.1f CorePercentPerNode=%.2f PeerBytesPerSecondPerNode=%.0f ResidentMegabytesPerNode=%.1f HeapMegabytesPerNode=%.1f\n",
		instances, writes, reads, 100*(after.CPUSeconds-before.CPUSeconds)/seconds/n,
		(after.PeerBytes-before.PeerBytes)/seconds/n, after.ResidentBytes/n/1e6, after.HeapBytes/n/1e6)
	return nil
}
