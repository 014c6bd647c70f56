package pollentrial

import (
	"context"
	"errors"
	"time"

	"pollenline.example/pollen/pollenbackend"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenpeer"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollenstore"
)

// errCut is the cause of calls that a cut stops.
var errCut = errors.New("cut")

// fakeLink is a node's way to the store.
type fakeLink struct {
	node *Node
}

// enter waits out a pause and fails when the node is cut from the store.
func (l *fakeLink) enter(ctx context.Context) error {
	l.node.pass(ctx)
	l.node.mu.Lock()
	cut := l.node.cutStore || l.node.dead
	l.node.mu.Unlock()
	if cut || ctx.Err() != nil {
		return &pollenstore.UnavailableError{Call: "link", Err: errCut}
	}
	l.node.trial.delay(ctx)
	return nil
}

// leave holds an answer back while the node is paused.
func (l *fakeLink) leave() { l.node.pass(l.node.ctx) }

// Get implements pollencontrol.Store.
func (l *fakeLink) Get(ctx context.Context, key string) (pollenstore.Entry, error) {
	if err := l.enter(ctx); err != nil {
		return pollenstore.Entry{}, err
	}
	defer l.leave()
	return l.node.trial.Store.Get(ctx, key)
}

// List implements pollencontrol.Store.
func (l *fakeLink) List(ctx context.Context, prefix string) (pollenstore.Listing, error) {
	if err := l.enter(ctx); err != nil {
		return pollenstore.Listing{}, err
	}
	defer l.leave()
	return l.node.trial.Store.List(ctx, prefix)
}

// Watch implements pollencontrol.Store.
func (l *fakeLink) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (pollenstore.Changes, error) {
	if err := l.enter(ctx); err != nil {
		return pollenstore.Changes{}, err
	}
	defer l.leave()
	return l.node.trial.Store.Watch(ctx, prefix, after, wait)
}

// CompareAndSwap implements pollencontrol.Store.
func (l *fakeLink) CompareAndSwap(ctx context.Context, swap pollenstore.Swap) (uint64, error) {
	if err := l.enter(ctx); err != nil {
		return 0, err
	}
	defer l.leave()
	return l.node.trial.Store.CompareAndSwap(ctx, swap)
}

// Grant implements pollencontrol.Store.
func (l *fakeLink) Grant(ctx context.Context, duration time.Duration) (pollenstore.Lease, error) {
	if err := l.enter(ctx); err != nil {
		return pollenstore.Lease{}, err
	}
	defer l.leave()
	return l.node.trial.Store.Grant(ctx, duration)
}

// Renew implements pollencontrol.Store.
func (l *fakeLink) Renew(ctx context.Context, id uint64) error {
	if err := l.enter(ctx); err != nil {
		return err
	}
	defer l.leave()
	return l.node.trial.Store.Renew(ctx, id)
}

// Revoke implements pollencontrol.Store.
func (l *fakeLink) Revoke(ctx context.Context, id uint64) error {
	if err := l.enter(ctx); err != nil {
		return err
	}
	return l.node.trial.Store.Revoke(ctx, id)
}

// fakePeers carries calls from one node to others.
type fakePeers struct {
	node *Node
}

// call runs f at the node with the given address; an error means that nothing was sent.
func call[A any](ctx context.Context, p *fakePeers, i pollenroute.Instance, f func(*Node) A) (answer A, sent bool, err error) {
	p.node.pass(ctx)
	to, err := p.node.trial.reach(ctx, p.node, i)
	if err != nil {
		return answer, false, &pollenpeer.NotConnectedError{Address: i.Peer, Err: err}
	}
	p.node.trial.delay(ctx)
	answers := make(chan A, 1)
	go func() {
		to.pass(to.ctx)
		if to.isDead() {
			return
		}
		result := f(to)
		to.pass(to.ctx)
		answers <- result
	}()
	select {
	case answer = <-answers:
	case <-ctx.Done():
		return answer, true, &pollenpeer.CallError{Method: "call", Err: ctx.Err()}
	case <-to.ctx.Done():
		return answer, true, &pollenpeer.CallError{Method: "call", Err: errCut}
	case <-p.node.ctx.Done():
		return answer, true, &pollenpeer.CallError{Method: "call", Err: errCut}
	}
	p.node.pass(ctx)
	if p.node.trial.isCut(p.node, to) {
		// The reply is lost.
		<-ctx.Done()
		return answer, true, &pollenpeer.CallError{Method: "call", Err: errCut}
	}
	return answer, true, nil
}

// Execute implements polleninstance.Peers.
func (p *fakePeers) Execute(ctx context.Context, i pollenroute.Instance, q *pollenmessage.SubQuery) pollenmessage.SubAnswer {
	copied := *q
	answer, sent, err := call(ctx, p, i, func(to *Node) pollenmessage.SubAnswer {
		callCtx, cancel := context.WithTimeout(to.ctx, copied.Timeout)
		defer cancel()
		stop := context.AfterFunc(ctx, cancel)
		defer stop()
		return to.Instance.PeerHandler().Execute(callCtx, &copied)
	})
	switch {
	case err == nil:
		return p.node.trial.cross(answer)
	case !sent:
		return q.Refuse(pollenschema.Reason_REASON_NO_OWNER, err.Error())
	}
	return q.Unknown(pollenschema.Reason_REASON_CONNECTION, err.Error())
}

// Forward implements polleninstance.Peers.
func (p *fakePeers) Forward(ctx context.Context, i pollenroute.Instance, request *pollenpeer.ForwardRequest) (*pollenpeer.ForwardReply, error) {
	reply, _, err := call(ctx, p, i, func(to *Node) *pollenpeer.ForwardReply {
		callCtx, cancel := context.WithTimeout(to.ctx, request.Timeout)
		defer cancel()
		response, err := to.Instance.PeerHandler().Forward(callCtx, request.Request)
		if err != nil {
			return nil
		}
		return &pollenpeer.ForwardReply{ID: request.ID, Response: response}
	})
	if err == nil && reply == nil {
		err = errCut
	}
	return reply, err
}

// Ping implements pollencontrol.Peers.
func (p *fakePeers) Ping(ctx context.Context, i pollenroute.Instance, request pollenpeer.PingRequest) (pollenpeer.PingReply, error) {
	reply, _, err := call(ctx, p, i, func(to *Node) pollenpeer.PingReply { return to.Instance.PeerHandler().Ping(request) })
	return reply, err
}

// Watch implements pollencontrol.Peers.
func (p *fakePeers) Watch(ctx context.Context, i pollenroute.Instance, request pollenpeer.WatchRequest) (pollenpeer.WatchReply, error) {
	reply, _, err := call(ctx, p, i, func(to *Node) pollenpeer.WatchReply {
		reply, err := to.Instance.PeerHandler().Watch(to.ctx, request)
		if err != nil {
			return pollenpeer.WatchReply{}
		}
		return reply
	})
	return reply, err
}

// InForce implements pollencontrol.Peers.
func (p *fakePeers) InForce(ctx context.Context, i pollenroute.Instance, request pollenpeer.InForceRequest) (pollenpeer.InForceReply, error) {
	reply, _, err := call(ctx, p, i, func(to *Node) pollenpeer.InForceReply {
		callCtx, cancel := context.WithTimeout(to.ctx, request.Wait)
		defer cancel()
		return to.Instance.PeerHandler().InForce(callCtx, request)
	})
	return reply, err
}

// fakeBackend is a node's way to a backend server.
type fakeBackend struct {
	node   *Node
	server *pollenroute.Server
}

// Send implements pollenowner.Backend.
func (b *fakeBackend) Send(ctx context.Context, request *pollenbackend.Request) (*pollenbackend.Answer, error) {
	t := b.node.trial
	if b.node.pass(ctx) && !t.Config.LateSends {
		// A process that is stopped has not reached the check before the send; docs/PROOFS.md has the instant between.
		return nil, &pollenbackend.NotSentError{Err: errCut}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(b.node.ctx, cancel)()
	if b.node.isDead() || ctx.Err() != nil {
		return nil, &pollenbackend.NotSentError{Err: errCut}
	}
	if t.silentConnection(b) {
		<-ctx.Done()
		return nil, &pollenbackend.LostError{Err: ctx.Err()}
	}
	t.observe(b)
	answer, err := t.Servers[b.server.Name].Answer(ctx, request)
	b.node.pass(ctx)
	if err != nil {
		return nil, &pollenbackend.LostError{Err: err}
	}
	if err := pollenbackend.Verify(request, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// CloseIdleConnections implements pollenowner.Backend.
func (b *fakeBackend) CloseIdleConnections() { b.node.trial.retire(b) }
