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

// Fault is the name of an injected fault or of an observation that tests require.
type Fault string

// The faults that a trial can inject.
const (
	FaultKill           Fault = "Kill"           // the node is killed and started again after the duration
	FaultPause          Fault = "Pause"          // the node is suspended
	FaultCutNodes       Fault = "CutNodes"       // the node and the next one cannot reach each other
	FaultCutStore       Fault = "CutStore"       // the node cannot reach the store
	FaultIsolate        Fault = "Isolate"        // the node can reach neither the store nor any other node
	FaultStoreDown      Fault = "StoreDown"      // every call to the store fails
	FaultStoreSlow      Fault = "StoreSlow"      // every call to the store is delayed
	FaultStoreLose      Fault = "StoreLose"      // writes, grants and renewals in the store take effect but their calls fail
	FaultStoreStale     Fault = "StoreStale"     // reads from the store return old contents
	FaultServerRestart  Fault = "ServerRestart"  // the server restarts cold
	FaultServerDown     Fault = "ServerDown"     // the server breaks every connection
	FaultServerLose     Fault = "ServerLose"     // the server runs requests but loses the answers
	FaultServerGarble   Fault = "ServerGarble"   // the server answers with the id of another request
	FaultServerTruncate Fault = "ServerTruncate" // the server omits the last shard of answers
	FaultServerStraggle Fault = "ServerStraggle" // a share of the server's requests are slow
	FaultServerLostData Fault = "ServerLostData" // the server has lost the data of its shards
	FaultServerMissing  Fault = "ServerMissing"  // the server does not hold its service's newest snapshot
	FaultSilent         Fault = "Silent"         // the open connections to the server are unresponsive
	FaultZoneOut        Fault = "ZoneOut"        // an operator takes the zone out and brings it back
	FaultDrain          Fault = "Drain"          // an operator drains the server and brings it back
	FaultPublish        Fault = "Publish"        // an operator publishes a snapshot
	FaultRepartition    Fault = "Repartition"    // an operator publishes a snapshot with more shards
	FaultRace           Fault = "Race"           // operators change the state of the server concurrently
	FaultGracefulStop   Fault = "GracefulStop"   // the node stops gracefully and is started again
	FaultCopy           Fault = "Copy"           // a caller sends a copy of a request
	FaultLateCopy       Fault = "LateCopy"       // a caller sends a copy of a request after the expiry of its id
	FaultCrossed        Fault = "Crossed"        // the answer between two nodes belongs to another sub-query
	// The names that begin with Seen are not faults but observations that a test must make at least once.
	SeenDone     Fault = "SeenDone"     // a request was done
	SeenRefusal  Fault = "SeenRefusal"  // a request was reported as not run
	SeenMissing  Fault = "SeenMissing"  // an answer lacked a shard
	SeenWindow   Fault = "SeenWindow"   // a period began in which a change had to be in force everywhere
	SeenAccepted Fault = "SeenAccepted" // a change was accepted
)

// Step is one fault of a plan.
type Step struct {
	Fault Fault
	// Target selects the node, server or zone by its number modulo their count.
	Target int
	// After is the delay between the beginning of the previous step and of this one.
	After time.Duration
	// For is how long the fault lasts.
	For time.Duration
}

// InjectPlan injects the faults of a plan in order; it returns after the last one has begun, and faults may overlap.
func (t *Trial) InjectPlan(plan []Step) {
	for _, step := range plan {
		time.Sleep(step.After)
		t.injectStep(step)
	}
}

// CountFault counts an occurrence of a fault or an observation.
func (t *Trial) CountFault(fault Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faultCounts[fault]++
}

// FaultCounts returns how often each fault and each observation occurred.
func (t *Trial) FaultCounts() map[Fault]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faultCounts
}

// faultTarget holds the node, the server and the zone of a fault; each kind of fault uses one of them.
type faultTarget struct {
	node   *Node
	server string
	zone   string
}

func (t *Trial) injectStep(step Step) {
	t.inject(step, faultTarget{
		node:   t.Nodes()[step.Target%t.Config.Instances],
		server: t.backendServers[step.Target%len(t.backendServers)].Name,
		zone:   t.Firm.Zones[step.Target%len(t.Firm.Zones)],
	})
}

// inject begins a fault at its target; the end of the fault is scheduled in the background.
func (t *Trial) inject(step Step, target faultTarget) {
	switch step.Fault {
	case FaultKill, FaultPause, FaultGracefulStop, FaultCutNodes, FaultCutStore, FaultIsolate:
		t.injectNodeFault(step, target.node)
	case FaultStoreDown, FaultStoreSlow, FaultStoreLose, FaultStoreStale:
		t.Store.SetFaults(storeFaults[step.Fault])
		t.endAfterDuration(step, func() { t.Store.SetFaults(pollenfakestore.Faults{}) })
	case FaultZoneOut, FaultDrain, FaultPublish, FaultRepartition, FaultRace:
		t.background.Go(func() { t.injectOperation(step, target) })
	default:
		t.injectServerFault(step, target.server)
	}
}

func (t *Trial) injectNodeFault(step Step, node *Node) {
	switch step.Fault {
	case FaultKill:
		t.killNode(node, step.For)
	case FaultPause:
		if node.IsAvailable() {
			node.Pause()
			t.endAfterDuration(step, node.Resume)
		}
	case FaultGracefulStop:
		if node.IsAvailable() {
			node.StopGracefully()
			t.endAfterDuration(step, func() { t.restartAfterStop(node) })
		}
	case FaultCutNodes:
		other := t.Nodes()[(node.number+1)%t.Config.Instances]
		t.setPartitioned(node, other, true)
		t.endAfterDuration(step, func() { t.setPartitioned(node, other, false) })
	case FaultCutStore:
		node.setStorePartitioned(true)
		t.endAfterDuration(step, func() { node.setStorePartitioned(false) })
	case FaultIsolate:
		t.isolate(node, true)
		t.endAfterDuration(step, func() { t.isolate(node, false) })
	}
}

func (t *Trial) injectServerFault(step Step, server string) {
	switch step.Fault {
	case FaultServerRestart:
		t.Servers[server].Restart()
		t.CountFault(step.Fault)
	case FaultSilent:
		t.silenceConnections(server)
	default:
		t.Servers[server].SetFaults(t.serverFaults(step.Fault, server))
		t.endAfterDuration(step, func() { t.Servers[server].SetFaults(pollenfakeserver.Faults{}) })
	}
}

// endAfterDuration counts a fault and calls end once the step's duration is over.
func (t *Trial) endAfterDuration(step Step, end func()) {
	t.CountFault(step.Fault)
	t.background.Go(func() {
		time.Sleep(step.For)
		end()
	})
}

func (t *Trial) killNode(n *Node, downtime time.Duration) {
	if !n.IsAvailable() {
		return
	}
	n.Kill()
	t.CountFault(FaultKill)
	t.background.Go(func() {
		time.Sleep(downtime)
		t.startNode(n.number)
	})
}

// restartAfterStop starts an instance of the same name once the old one has stopped and its addresses are free.
func (t *Trial) restartAfterStop(n *Node) {
	for !n.hasFinishedStop() && t.ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
	}
	t.startNode(n.number)
}

// isolate partitions a node from the store and from all other nodes, or ends the partition.
func (t *Trial) isolate(n *Node, isolated bool) {
	n.setStorePartitioned(isolated)
	for _, other := range t.Nodes() {
		if other != n {
			t.setPartitioned(n, other, isolated)
		}
	}
}

func (n *Node) setStorePartitioned(partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storePartitioned = partitioned
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

// silenceConnections makes the nodes' open connections to a server unresponsive; new connections work.
func (t *Trial) silenceConnections(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for b := range t.usedConnections {
		if b.server.Name == server {
			t.silentConnections[b] = true
			t.faultCounts[FaultSilent]++
		}
	}
}

func (t *Trial) injectOperation(step Step, target faultTarget) {
	server, service := target.server, t.serviceOf(target.server)
	t.CountFault(step.Fault)
	switch step.Fault {
	case FaultZoneOut:
		t.applyUntilStored(PutZone(target.zone, pollenschema.Admin_ADMIN_OUT))
		time.Sleep(step.For)
		t.applyUntilStored(PutZone(target.zone, pollenschema.Admin_ADMIN_IN))
	case FaultDrain:
		t.applyUntilStored(setServerState(service, server, pollenschema.Admin_ADMIN_DRAINING))
		time.Sleep(step.For)
		t.applyUntilStored(setServerState(service, server, pollenschema.Admin_ADMIN_IN))
	case FaultPublish, FaultRepartition:
		t.publishSnapshot(service, step.Fault == FaultRepartition)
	case FaultRace:
		for n := range 3 {
			t.background.Go(func() {
				// The changes are concurrent, and any of them may be the last to be applied.
				state := []pollenschema.Admin{pollenschema.Admin_ADMIN_IN, pollenschema.Admin_ADMIN_DRAINING, pollenschema.Admin_ADMIN_IN}[n]
				t.applyUntilStored(setServerState(service, server, state))
			})
		}
		time.Sleep(step.For)
		t.applyUntilStored(setServerState(service, server, pollenschema.Admin_ADMIN_IN))
	}
}

// applyUntilStored tries a change up to 50 times until it is stored, and records it in StoredChanges.
func (t *Trial) applyUntilStored(change *pollenschema.Change) {
	for range 50 {
		started := time.Now()
		response, err := t.Apply(change)
		if err == nil {
			t.checkAccepted(response)
			t.mu.Lock()
			t.StoredChanges = append(t.StoredChanges, StoredChange{Change: change, Requested: started, Returned: time.Now(), Revision: response.Revision, Accepted: response.Accepted})
			t.mu.Unlock()
			return
		}
		if t.ctx.Err() != nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkAccepted records a violation for each serving instance on which an accepted revision is not in force.
func (t *Trial) checkAccepted(response *pollenschema.ApplyResponse) {
	if !response.Accepted {
		return
	}
	t.CountFault(SeenAccepted)
	for _, n := range t.Nodes() {
		if n.IsServing() && n.Instance.Table().Revision < response.Revision {
			t.recordViolation(&pollencheck.Violation{
				Invariant: pollencheck.ConfigurationInForce,
				Detail: fmt.Sprintf("revision %d was accepted %v after it was written, %s has %d; %s", response.Revision,
					time.Since(t.RevisionTimes()[response.Revision]), n.Name, n.Instance.Table().Revision, t.describeViews(n)),
			})
		}
	}
}

// describeViews describes how the other nodes list a node, for the text of a violation.
func (t *Trial) describeViews(n *Node) string {
	var views []string
	for _, other := range t.Nodes() {
		for _, i := range other.Instance.Table().Instances {
			if i.Name == n.Name {
				views = append(views, fmt.Sprintf("%s lists it (available %t, unrecorded %t, same incarnation %t, partitioned %t)", other.Name,
					other.IsAvailable(), i.Unrecorded, i.Incarnation == n.Instance.Table().Self.Incarnation, t.isPartitioned(n, other)))
			}
		}
	}
	return strings.Join(views, ", ")
}

// StoredChange is an operator's change that was stored, with the times of its request and response.
type StoredChange struct {
	Change    *pollenschema.Change
	Requested time.Time
	Returned  time.Time
	Revision  uint64
	Accepted  bool
}

func setServerState(service, server string, state pollenschema.Admin) *pollenschema.Change {
	return &pollenschema.Change{Kind: &pollenschema.Change_SetServerState{
		SetServerState: &pollenschema.ServerState{Service: service, Server: server, State: state},
	}}
}

// publishSnapshot publishes a new snapshot of a service; a repartition adds one to three shards to each index.
func (t *Trial) publishSnapshot(service string, repartition bool) {
	family, document := t.familyAndDocument(service)
	t.mu.Lock()
	t.publishCount++
	name := fmt.Sprintf("v%d", t.publishCount+1)
	if repartition {
		family.Shards += 1 + t.publishCount%3
	}
	snapshot := pollenfirm.Snapshot(family, document, name)
	t.publishedSnapshots[service+"/"+name] = snapshot
	t.newestSnapshots[service] = name
	t.mu.Unlock()
	t.applyUntilStored(&pollenschema.Change{Kind: &pollenschema.Change_PublishSnapshot{
		PublishSnapshot: &pollenschema.PublishSnapshot{Service: service, Snapshot: snapshot},
	}})
}

// familyAndDocument returns the family of a service, and a document with only the names of the service and its servers.
func (t *Trial) familyAndDocument(service string) (pollenfirm.Family, *pollenschema.Service) {
	document := &pollenschema.Service{Name: service}
	var family pollenfirm.Family
	for _, s := range t.backendServers {
		if s.Service == service {
			family = s.Family
			document.Servers = append(document.Servers, &pollenschema.BackendServer{Name: s.Name})
		}
	}
	return family, document
}

func (t *Trial) serviceOf(server string) string {
	for _, s := range t.backendServers {
		if s.Name == server {
			return s.Service
		}
	}
	return ""
}

func (t *Trial) newestSnapshot(server string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if name, ok := t.newestSnapshots[t.serviceOf(server)]; ok {
		return name
	}
	return firstSnapshot
}

// shardsOf returns the shards that a server holds in the first snapshot.
func (t *Trial) shardsOf(server string) []string {
	var shards []string
	for _, shard := range t.publishedSnapshots[t.serviceOf(server)+"/"+firstSnapshot].Shards {
		for _, holder := range shard.Servers {
			if holder == server {
				shards = append(shards, shard.Name)
			}
		}
	}
	return shards
}
