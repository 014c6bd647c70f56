package pollensoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"pollenline.example/platform/pollenstage"
	"pollenline.example/pollen/pollenfakestore"
)

// fault is one kind of trouble that a run may meet.
type fault struct {
	name  string
	about string
	// strike causes the trouble and returns once it is over; lasts is how long a trouble with a length takes.
	strike func(ctx context.Context, w *world, random *rand.Rand, lasts time.Duration) error
}

// faults lists all kinds.
var faults = []fault{
	{"kill", "an instance is killed and restarted", strikeKill},
	{"stop", "an instance is stopped gracefully and restarted", strikeStop},
	{"pause", "an instance stands still", strikePause},
	{"reload", "instances are told to read their settings again", strikeReload},
	{"store-silent", "an instance's connections to the store pass nothing", onStoreLink(func(p *proxy) { p.set(silent, 0) })},
	{"store-one-way", "an instance hears nothing from the store", onStoreLink(func(p *proxy) { p.set(oneWay, 0) })},
	{"store-refused", "an instance can't connect to the store", onStoreLink(func(p *proxy) { p.set(refuse, 0); p.reset() })},
	{"store-deaf", "an instance's open connections to the store go silent, new ones work", onStoreLink((*proxy).deafen)},
	{"store-delayed", "an instance's bytes to and from the store are late", onStoreLink(func(p *proxy) { p.set(pass, 80*time.Millisecond) })},
	{"store-down", "the store refuses all calls", onStore(pollenfakestore.Faults{Down: true})},
	{"store-slow", "the store is slow", onStore(pollenfakestore.Faults{Delay: 250 * time.Millisecond})},
	{"store-answers-lost", "the store carries out writes and loses the answers", onStore(pollenfakestore.Faults{LoseAnswers: true})},
	{"store-compacted", "the store forgets its history", strikeCompact},
	{"server-killed", "a server dies and another one starts", strikeServerKilled},
	{"server-drained", "a server leaves and another one starts", strikeServerDrained},
	{"servers-slow", "some servers are slow", onServers(0.25, pollenstage.ServerFaults{SlowFactor: 8})},
	{"servers-shed", "some servers shed half of their requests", onServers(0.4, pollenstage.ServerFaults{ShedShare: 0.5})},
	{"servers-lose", "some servers lose answers", onServers(0.4, pollenstage.ServerFaults{LostAnswerShare: 0.3})},
	{"servers-garble", "some servers cut answers short", onServers(0.4, pollenstage.ServerFaults{TruncatedAnswerShare: 0.2})},
	{"servers-double", "some servers answer twice", onServers(0.4, pollenstage.ServerFaults{DuplicateAnswerShare: 0.2})},
	{"servers-hang", "some servers keep requests", onServers(0.25, pollenstage.ServerFaults{HangShare: 0.5})},
	{"links-silent", "connections to some servers pass nothing", onServerLinks(func(p *proxy) { p.set(silent, 0) })},
	{"links-reset", "connections to some servers are reset", onServerLinks((*proxy).reset)},
	{"links-deaf", "open connections to some servers go silent, new ones work", onServerLinks((*proxy).deafen)},
	{"links-delayed", "bytes to and from some servers are late", onServerLinks(func(p *proxy) { p.set(pass, 40*time.Millisecond) })},
	{"move", "a route moves to another service", strikeMove},
	{"reshard", "the index is cut into other shards", strikeReshard},
	{"evacuate", "a zone is evacuated and comes back", strikeEvacuate},
}

func (w *world) anyNode(random *rand.Rand) *node { return w.nodes[random.IntN(len(w.nodes))] }

func strikeKill(_ context.Context, w *world, random *rand.Rand, _ time.Duration) error {
	n := w.anyNode(random)
	n.mu.Lock()
	defer n.mu.Unlock()
	defer w.record.disturb(n.number, touch|cuts)()
	n.process.Kill()
	time.Sleep(restartDelay)
	return w.startNode(n)
}

// strikeStop is planned work, which must cut no request and end in time.
func strikeStop(ctx context.Context, w *world, random *rand.Rand, _ time.Duration) error {
	n := w.anyNode(random)
	n.mu.Lock()
	defer n.mu.Unlock()
	defer w.record.disturb(n.number, touch)()
	// A process that has hardly begun may not take signals yet, and has no requests to lose.
	begun := isReady(ctx, n.ready)
	if err := n.process.Stop(w.record.bounds.Grace); err != nil {
		n.process.Kill()
		if begun {
			w.record.stopFailed(n.name, err)
		}
	}
	time.Sleep(restartDelay)
	return w.startNode(n)
}

func strikePause(_ context.Context, w *world, random *rand.Rand, lasts time.Duration) error {
	n := w.anyNode(random)
	n.mu.Lock()
	defer n.mu.Unlock()
	defer w.record.disturb(n.number, touch|cuts)()
	if err := n.process.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("pause %s: %w", n.name, err)
	}
	time.Sleep(lasts)
	return n.process.Signal(syscall.SIGCONT)
}

func strikeReload(_ context.Context, w *world, _ *rand.Rand, _ time.Duration) error {
	for _, n := range w.nodes {
		if err := n.reload(); err != nil {
			return err
		}
	}
	return nil
}

func onStoreLink(disturb func(*proxy)) func(context.Context, *world, *rand.Rand, time.Duration) error {
	return func(_ context.Context, w *world, random *rand.Rand, lasts time.Duration) error {
		n := w.anyNode(random)
		defer w.record.disturb(n.number, touch)()
		disturb(n.store)
		time.Sleep(lasts)
		n.store.set(pass, 0)
		return nil
	}
}

func onStore(troubles pollenfakestore.Faults) func(context.Context, *world, *rand.Rand, time.Duration) error {
	return func(_ context.Context, w *world, _ *rand.Rand, lasts time.Duration) error {
		defer w.record.disturb(everywhere, touch)()
		w.store.SetFaults(troubles)
		time.Sleep(lasts)
		w.store.SetFaults(pollenfakestore.Faults{})
		return nil
	}
}

func strikeCompact(_ context.Context, w *world, _ *rand.Rand, _ time.Duration) error {
	defer w.record.disturb(everywhere, touch)()
	w.store.Compact()
	return nil
}

func strikeServerKilled(_ context.Context, w *world, random *rand.Rand, lasts time.Duration) error {
	defer w.record.disturb(everywhere, cuts)()
	b := w.take(random)
	b.server.Kill()
	b.proxy.close()
	time.Sleep(lasts)
	return w.addServer(b.server.Service(), b.server.Zone())
}

// strikeServerDrained is planned work, and disturbs nothing.
func strikeServerDrained(ctx context.Context, w *world, random *rand.Rand, _ time.Duration) error {
	b := w.take(random)
	if err := w.addServer(b.server.Service(), b.server.Zone()); err != nil {
		return err
	}
	return w.retire(ctx, b)
}

// retire drains a server and ends it when nobody may send to it any more.
func (w *world) retire(ctx context.Context, b *backend) error {
	acked, err := b.server.Drain(ctx)
	if err != nil {
		return err
	}
	w.record.mu.Lock()
	w.record.drains = append(w.record.drains, &change{name: b.server.ID(), acked: acked})
	w.record.mu.Unlock()
	time.Sleep(w.record.bounds.Drain + leaveDelay)
	// Instances that are out of touch may still send, and find the server gone.
	defer w.record.disturb(everywhere, cuts)()
	b.proxy.close()
	b.server.KillAndDeregister(ctx)
	return nil
}

func onServers(share float64, troubles pollenstage.ServerFaults) func(context.Context, *world, *rand.Rand, time.Duration) error {
	return func(_ context.Context, w *world, random *rand.Rand, lasts time.Duration) error {
		defer w.record.disturb(everywhere, cuts)()
		chosen := w.some(random, share)
		for _, b := range chosen {
			b.server.SetFaults(troubles)
		}
		time.Sleep(lasts)
		for _, b := range chosen {
			b.server.SetFaults(pollenstage.ServerFaults{})
		}
		return nil
	}
}

func onServerLinks(disturb func(*proxy)) func(context.Context, *world, *rand.Rand, time.Duration) error {
	return func(_ context.Context, w *world, random *rand.Rand, lasts time.Duration) error {
		defer w.record.disturb(everywhere, cuts)()
		chosen := w.some(random, 0.25)
		for _, b := range chosen {
			disturb(b.proxy)
		}
		time.Sleep(lasts)
		for _, b := range chosen {
			b.proxy.set(pass, 0)
		}
		return nil
	}
}

func strikeMove(ctx context.Context, w *world, _ *rand.Rand, _ time.Duration) error {
	return w.deploy(ctx, func() { w.moved = !w.moved })
}

// strikeReshard starts the servers of the next set of shards, names the set, and retires those of the last one.
func strikeReshard(ctx context.Context, w *world, _ *rand.Rand, _ time.Duration) error {
	w.resharding.Lock()
	defer w.resharding.Unlock()
	former := w.shards(w.generation)
	next := w.shards(w.generation + 1)
	for _, service := range next {
		if err := w.addPair(service); err != nil {
			return err
		}
	}
	// New servers are known everywhere before a version names them.
	time.Sleep(w.record.bounds.Apply)
	if err := w.deploy(ctx, func() { w.generation++ }); err != nil {
		return err
	}
	time.Sleep(w.record.bounds.Apply)
	return w.retireAll(ctx, former)
}

func (w *world) retireAll(ctx context.Context, services []string) error {
	w.mu.Lock()
	var kept, leaving []*backend
	for _, b := range w.backends {
		if slices.Contains(services, b.server.Service()) {
			leaving = append(leaving, b)
		} else {
			kept = append(kept, b)
		}
	}
	w.backends = kept
	w.mu.Unlock()
	ended := make(chan error, len(leaving))
	for _, b := range leaving {
		go func() { ended <- w.retire(ctx, b) }()
	}
	var failed error
	for range leaving {
		if err := <-ended; err != nil {
			failed = err
		}
	}
	return failed
}

func strikeEvacuate(ctx context.Context, w *world, random *rand.Rand, lasts time.Duration) error {
	zone := zones[random.IntN(len(zones))]
	w.evacuating.Lock()
	defer w.evacuating.Unlock()
	acked, err := pollenstage.Evacuate(ctx, w.store, zone)
	if err != nil {
		return err
	}
	c := &change{name: zone, acked: acked}
	w.record.mu.Lock()
	w.record.evacuations = append(w.record.evacuations, c)
	w.record.mu.Unlock()
	time.Sleep(w.record.bounds.Evacuate + lasts)
	w.record.mu.Lock()
	c.undone = time.Now()
	w.record.mu.Unlock()
	return pollenstage.EndEvacuation(ctx, w.store, zone)
}
