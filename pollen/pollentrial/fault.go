package pollentrial

import (
	"fmt"
	"strings"
	"time"

	"pollenline.example/pollen/pollencheck"
	"pollenline.example/pollen/pollenfakeserver"
	"pollenline.example/pollen/pollenfakestore"
	"pollenline.example/pollen/pollenfirm"
	"pollenline.example/pollen/pollenschema"
)

// Fault is a kind of failure.
type Fault string

// The failures that a trial can bring about.
const (
	FaultKill           Fault = "Kill"
	FaultPause          Fault = "Pause"
	FaultCutNodes       Fault = "CutNodes"
	FaultCutStore       Fault = "CutStore"
	FaultIsolate        Fault = "Isolate"
	FaultStoreDown      Fault = "StoreDown"
	FaultStoreSlow      Fault = "StoreSlow"
	FaultStoreLose      Fault = "StoreLose"
	FaultStoreStale     Fault = "StoreStale"
	FaultServerRestart  Fault = "ServerRestart"
	FaultServerDown     Fault = "ServerDown"
	FaultServerLose     Fault = "ServerLose"
	FaultServerGarble   Fault = "ServerGarble"
	FaultServerTruncate Fault = "ServerTruncate"
	FaultServerStraggle Fault = "ServerStraggle"
	FaultServerLostData Fault = "ServerLostData"
	FaultServerMissing  Fault = "ServerMissing"
	FaultSilent         Fault = "Silent"
	FaultZoneOut        Fault = "ZoneOut"
	FaultDrain          Fault = "Drain"
	FaultPublish        Fault = "Publish"
	FaultRepartition    Fault = "Repartition"
	FaultRace           Fault = "Race"
	FaultGracefulStop   Fault = "GracefulStop"
	FaultCopy           Fault = "Copy"
	FaultLateCopy       Fault = "LateCopy"
	FaultCrossed        Fault = "Crossed"
	// These are no failures, but what the judges must have seen.
	SeenDone     Fault = "SeenDone"
	SeenRefusal  Fault = "SeenRefusal"
	SeenMissing  Fault = "SeenMissing"
	SeenWindow   Fault = "SeenWindow"
	SeenAccepted Fault = "SeenAccepted"
)

// Step is one failure of a plan.
type Step struct {
	Fault Fault
	// Target picks the node, server or zone.
	Target int
	// After the step before, the failure begins, and it ends when For is over.
	After time.Duration
	For   time.Duration
}

// Play brings the failures of a plan about, one after another; those that last go on beside the later ones.
func (t *Trial) Play(plan []Step) {
	for _, step := range plan {
		time.Sleep(step.After)
		t.play(step)
	}
}

// Met counts a failure that was really met.
func (t *Trial) Met(fault Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults[fault]++
}

// Faults returns how often each failure was met.
func (t *Trial) Faults() map[Fault]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// place is what a failure happens to, as far as its kind needs it.
type place struct {
	node   *Node
	server string
	zone   string
}

func (t *Trial) play(step Step) {
	t.bring(step, place{
		node:   t.Nodes()[step.Target%t.Config.Instances],
		server: t.fleet[step.Target%len(t.fleet)].Name,
		zone:   t.Firm.Zones[step.Target%len(t.Firm.Zones)],
	})
}

// bring brings one failure about.
func (t *Trial) bring(step Step, at place) {
	switch step.Fault {
	case FaultKill, FaultPause, FaultGracefulStop, FaultCutNodes, FaultCutStore, FaultIsolate:
		t.failNode(step, at.node)
	case FaultStoreDown, FaultStoreSlow, FaultStoreLose, FaultStoreStale:
		t.Store.SetFaults(storeFaults[step.Fault])
		t.during(step, func() { t.Store.SetFaults(pollenfakestore.Faults{}) })
	case FaultZoneOut, FaultDrain, FaultPublish, FaultRepartition, FaultRace:
		t.group.Go(func() { t.operate(step, at) })
	default:
		t.failServer(step, at.server)
	}
}

func (t *Trial) failNode(step Step, node *Node) {
	switch step.Fault {
	case FaultKill:
		t.killNode(node, step.For)
	case FaultPause:
		if node.Live() {
			node.Pause()
			t.during(step, node.Resume)
		}
	case FaultGracefulStop:
		if node.Live() {
			node.Leave()
			t.during(step, func() { t.replace(node) })
		}
	case FaultCutNodes:
		other := t.Nodes()[(node.number+1)%t.Config.Instances]
		t.setCut(node, other, true)
		t.during(step, func() { t.setCut(node, other, false) })
	case FaultCutStore:
		node.setCutStore(true)
		t.during(step, func() { node.setCutStore(false) })
	case FaultIsolate:
		t.isolate(node, true)
		t.during(step, func() { t.isolate(node, false) })
	}
}

func (t *Trial) failServer(step Step, server string) {
	switch step.Fault {
	case FaultServerRestart:
		t.Servers[server].Restart()
		t.Met(step.Fault)
	case FaultSilent:
		t.silence(server)
	default:
		t.Servers[server].SetFaults(t.serverFaults(step.Fault, server))
		t.during(step, func() { t.Servers[server].SetFaults(pollenfakeserver.Faults{}) })
	}
}

// during counts a failure and ends it when its time is over.
func (t *Trial) during(step Step, end func()) {
	t.Met(step.Fault)
	t.group.Go(func() {
		time.Sleep(step.For)
		end()
	})
}

func (t *Trial) killNode(n *Node, away time.Duration) {
	if !n.Live() {
		return
	}
	n.Kill()
	t.Met(FaultKill)
	t.group.Go(func() {
		time.Sleep(away)
		t.startNode(n.number)
	})
}

// replace starts an instance of the same name once the old one has left; its addresses are free only then.
func (t *Trial) replace(n *Node) {
	for !n.hasLeft() && t.ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
	}
	t.startNode(n.number)
}

// isolate cuts a node off from the store and from all other nodes.
func (t *Trial) isolate(n *Node, on bool) {
	n.setCutStore(on)
	for _, other := range t.Nodes() {
		if other != n {
			t.setCut(n, other, on)
		}
	}
}

func (n *Node) setCutStore(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutStore = on
}

var storeFaults = map[Fault]pollenfakestore.Faults{
	FaultStoreDown:  {Down: true},
	FaultStoreSlow:  {Delay: 300 * time.Millisecond},
	FaultStoreLose:  {LoseAnswers: true},
	FaultStoreStale: {StaleReads: true},
}

func (t *Trial) serverFaults(fault Fault, server string) pollenfakeserver.Faults {
	switch fault {
	case FaultServerDown:
		return pollenfakeserver.Faults{Down: true}
	case FaultServerLose:
		return pollenfakeserver.Faults{LoseAnswers: true}
	case FaultServerGarble:
		return pollenfakeserver.Faults{Garble: true}
	case FaultServerTruncate:
		return pollenfakeserver.Faults{Truncate: true}
	case FaultServerStraggle:
		return pollenfakeserver.Faults{StragglerShare: 0.2, StragglerFactor: 20}
	case FaultServerLostData:
		return pollenfakeserver.Faults{LostShards: t.shardsOf(server)}
	case FaultServerMissing:
		return pollenfakeserver.Faults{Missing: []string{t.newestSnapshot(server)}}
	}
	return pollenfakeserver.Faults{}
}

// silence makes the connections silent that nodes have to a server now; fresh ones work.
func (t *Trial) silence(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for b := range t.connections {
		if b.server.Name == server {
			t.silent[b] = true
			t.faults[FaultSilent]++
		}
	}
}

func (t *Trial) operate(step Step, at place) {
	server, service := at.server, t.serviceOf(at.server)
	t.Met(step.Fault)
	switch step.Fault {
	case FaultZoneOut:
		t.change(PutZone(at.zone, pollenschema.Admin_ADMIN_OUT))
		time.Sleep(step.For)
		t.change(PutZone(at.zone, pollenschema.Admin_ADMIN_IN))
	case FaultDrain:
		t.change(setServer(service, server, pollenschema.Admin_ADMIN_DRAINING))
		time.Sleep(step.For)
		t.change(setServer(service, server, pollenschema.Admin_ADMIN_IN))
	case FaultPublish, FaultRepartition:
		t.publish(service, step.Fault == FaultRepartition)
	case FaultRace:
		for n := range 3 {
			t.group.Go(func() {
				// Operators race for the state of one server; any of them may win.
				state := []pollenschema.Admin{pollenschema.Admin_ADMIN_IN, pollenschema.Admin_ADMIN_DRAINING, pollenschema.Admin_ADMIN_IN}[n]
				t.change(setServer(service, server, state))
			})
		}
		time.Sleep(step.For)
		t.change(setServer(service, server, pollenschema.Admin_ADMIN_IN))
	}
}

// change applies a change until the store takes it, and tells the judges.
func (t *Trial) change(change *pollenschema.Change) {
	for range 50 {
		started := time.Now()
		response, err := t.Apply(change)
		if err == nil {
			t.checkAccepted(response)
			t.mu.Lock()
			t.Orders = append(t.Orders, Order{Change: change, Ordered: started, Returned: time.Now(), Revision: response.Revision, Accepted: response.Accepted})
			t.mu.Unlock()
			return
		}
		if t.ctx.Err() != nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkAccepted judges that an accepted revision is in force on every instance that serves.
func (t *Trial) checkAccepted(response *pollenschema.ApplyResponse) {
	if !response.Accepted {
		return
	}
	t.Met(SeenAccepted)
	for _, n := range t.Nodes() {
		if n.Serving() && n.Instance.Table().Revision < response.Revision {
			t.violated(&pollencheck.Violation{
				Invariant: pollencheck.ConfigurationInForce,
				Detail: fmt.Sprintf("revision %d was accepted %v after it was written, %s has %d; %s", response.Revision,
					time.Since(t.HeadAt()[response.Revision]), n.Name, n.Instance.Table().Revision, t.views(n)),
			})
		}
	}
}

// views tells how the other nodes know a node.
func (t *Trial) views(n *Node) string {
	var views []string
	for _, other := range t.Nodes() {
		for _, i := range other.Instance.Table().Instances {
			if i.Name == n.Name {
				views = append(views, fmt.Sprintf("%s knows it (live %t, unrecorded %t, same incarnation %t, cut %t)", other.Name,
					other.Live(), i.Unrecorded, i.Incarnation == n.Instance.Table().Self.Incarnation, t.isCut(n, other)))
			}
		}
	}
	return strings.Join(views, ", ")
}

// Order is an operator's change that was stored.
type Order struct {
	Change   *pollenschema.Change
	Ordered  time.Time
	Returned time.Time
	Revision uint64
	Accepted bool
}

func setServer(service, server string, state pollenschema.Admin) *pollenschema.Change {
	return &pollenschema.Change{Kind: &pollenschema.Change_SetServerState{
		SetServerState: &pollenschema.ServerState{Service: service, Server: server, State: state},
	}}
}

// publish makes a new snapshot of a service; a repartition halves or doubles the number of shards.
func (t *Trial) publish(service string, repartition bool) {
	family, document := t.familyOf(service)
	t.mu.Lock()
	t.snapshots++
	name := fmt.Sprintf("v%d", t.snapshots+1)
	if repartition {
		family.Shards += 1 + t.snapshots%3
	}
	snapshot := pollenfirm.Snapshot(family, document, name)
	t.maps[service+"/"+name] = snapshot
	t.newest[service] = name
	t.mu.Unlock()
	t.change(&pollenschema.Change{Kind: &pollenschema.Change_PublishSnapshot{
		PublishSnapshot: &pollenschema.PublishSnapshot{Service: service, Snapshot: snapshot},
	}})
}

func (t *Trial) familyOf(service string) (pollenfirm.Family, *pollenschema.Service) {
	document := &pollenschema.Service{Name: service}
	var family pollenfirm.Family
	for _, s := range t.fleet {
		if s.Service == service {
			family = s.Family
			document.Servers = append(document.Servers, &pollenschema.BackendServer{Name: s.Name})
		}
	}
	return family, document
}

func (t *Trial) serviceOf(server string) string {
	for _, s := range t.fleet {
		if s.Name == server {
			return s.Service
		}
	}
	return ""
}

func (t *Trial) newestSnapshot(server string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if name, ok := t.newest[t.serviceOf(server)]; ok {
		return name
	}
	return firstName
}

// shardsOf returns the shards that a server holds in the first snapshot.
func (t *Trial) shardsOf(server string) []string {
	var shards []string
	for _, shard := range t.maps[t.serviceOf(server)+"/"+firstName].Shards {
		for _, holder := range shard.Servers {
			if holder == server {
				shards = append(shards, shard.Name)
			}
		}
	}
	return shards
}
