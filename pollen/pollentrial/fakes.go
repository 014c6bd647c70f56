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

// errUnreachable is the cause of calls that fail because a node is stopped or partitioned.
var errUnreachable = errors.New("cut")

// fakeStoreClient is a node's client of the store.
type fakeStoreClient struct {
	node *Node
}

// beginCall waits while the node is paused and fails if the node is stopped or partitioned from the store.
func (c *fakeStoreClient) beginCall(ctx context.Context) error {
	c.node.waitWhilePaused(ctx)
	c.node.mu.Lock()
	unreachable := c.node.storePartitioned || c.node.stopped
	c.node.mu.Unlock()
	if unreachable || ctx.Err() != nil {
		return &pollenstore.UnavailableError{Call: "link", Err: errUnreachable}
	}
	c.node.trial.simulateLatency(ctx)
	return nil
}

// endCall delays the answer while the node is paused.
func (c *fakeStoreClient) endCall() { c.node.waitWhilePaused(c.node.ctx) }

// Get implements pollencontrol.Store.
func (c *fakeStoreClient) Get(ctx context.Context, key string) (pollenstore.Entry, error) {
	if err := c.beginCall(ctx); err != nil {
		return pollenstore.Entry{}, err
	}
	defer c.endCall()
	return c.node.trial.Store.Get(ctx, key)
}

// List implements pollencontrol.Store.
func (c *fakeStoreClient) List(ctx context.Context, prefix string) (pollenstore.Listing, error) {
	if err := c.beginCall(ctx); err != nil {
		return pollenstore.Listing{}, err
	}
	defer c.endCall()
	return c.node.trial.Store.List(ctx, prefix)
}

// Watch implements pollencontrol.Store.
func (c *fakeStoreClient) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (pollenstore.Changes, error) {
	if err := c.beginCall(ctx); err != nil {
		return pollenstore.Changes{}, err
	}
	defer c.endCall()
	return c.node.trial.Store.Watch(ctx, prefix, after, wait)
}

// CompareAndSwap implements pollencontrol.Store.
func (c *fakeStoreClient) CompareAndSwap(ctx context.Context, swap pollenstore.Swap) (uint64, error) {
	if err := c.beginCall(ctx); err != nil {
		return 0, err
	}
	defer c.endCall()
	return c.node.trial.Store.CompareAndSwap(ctx, swap)
}

// Grant implements pollencontrol.Store.
func (c *fakeStoreClient) Grant(ctx context.Context, duration time.Duration) (pollenstore.Lease, error) {
	if err := c.beginCall(ctx); err != nil {
		return pollenstore.Lease{}, err
	}
	defer c.endCall()
	return c.node.trial.Store.Grant(ctx, duration)
}

// Renew implements pollencontrol.Store.
func (c *fakeStoreClient) Renew(ctx context.Context, id uint64) error {
	if err := c.beginCall(ctx); err != nil {
		return err
	}
	defer c.endCall()
	return c.node.trial.Store.Renew(ctx, id)
}

// Revoke implements pollencontrol.Store.
func (c *fakeStoreClient) Revoke(ctx context.Context, id uint64) error {
	if err := c.beginCall(ctx); err != nil {
		return err
	}
	return c.node.trial.Store.Revoke(ctx, id)
}

// fakePeers delivers calls from one node to other nodes.
type fakePeers struct {
	node *Node
}

// callNode runs f on the node with the peer address of i; sent reports whether the call may have reached the node.
func callNode[A any](ctx context.Context, p *fakePeers, i pollenroute.Instance, f func(*Node) A) (answer A, sent bool, err error) {
	p.node.waitWhilePaused(ctx)
	to, err := p.node.trial.reachableNode(ctx, p.node, i)
	if err != nil {
		return answer, false, &pollenpeer.NotConnectedError{Address: i.Peer, Err: err}
	}
	p.node.trial.simulateLatency(ctx)
	answers := make(chan A, 1)
	go func() {
		to.waitWhilePaused(to.ctx)
		if to.isStopped() {
			return
		}
		result := f(to)
		to.waitWhilePaused(to.ctx)
		answers <- result
	}()
	select {
	case answer = <-answers:
	case <-ctx.Done():
		return answer, true, &pollenpeer.CallError{Method: "call", Err: ctx.Err()}
	case <-to.ctx.Done():
		return answer, true, &pollenpeer.CallError{Method: "call", Err: errUnreachable}
	case <-p.node.ctx.Done():
		return answer, true, &pollenpeer.CallError{Method: "call", Err: errUnreachable}
	}
	p.node.waitWhilePaused(ctx)
	if p.node.trial.isPartitioned(p.node, to) {
		// The reply is lost, so the call lasts until its context ends.
		<-ctx.Done()
		return answer, true, &pollenpeer.CallError{Method: "call", Err: errUnreachable}
	}
	return answer, true, nil
}

// Execute implements polleninstance.Peers.
func (p *fakePeers) Execute(ctx context.Context, i pollenroute.Instance, q *pollenmessage.SubQuery) pollenmessage.SubAnswer {
	copied := *q
	answer, sent, err := callNode(ctx, p, i, func(to *Node) pollenmessage.SubAnswer {
		callCtx, cancel := context.WithTimeout(to.ctx, copied.Timeout)
		defer cancel()
		stop := context.AfterFunc(ctx, cancel)
		defer stop()
		return to.Instance.PeerHandler().Execute(callCtx, &copied)
	})
	switch {
	case err == nil:
		return p.node.trial.swapAnswer(answer)
	case !sent:
		return q.Refuse(pollenschema.Reason_REASON_NO_OWNER, err.Error())
	}
	return q.Unknown(pollenschema.Reason_REASON_CONNECTION, err.Error())
}

// Forward implements polleninstance.Peers.
func (p *fakePeers) Forward(ctx context.Context, i pollenroute.Instance, request *pollenpeer.ForwardRequest) (*pollenpeer.ForwardReply, error) {
	reply, _, err := callNode(ctx, p, i, func(to *Node) *pollenpeer.ForwardReply {
		callCtx, cancel := context.WithTimeout(to.ctx, request.Timeout)
		defer cancel()
		response, err := to.Instance.PeerHandler().Forward(callCtx, request.Request)
		if err != nil {
			return nil
		}
		return &pollenpeer.ForwardReply{ID: request.ID, Response: response}
	})
	if err == nil && reply == nil {
		err = errUnreachable
	}
	return reply, err
}

// Ping implements pollencontrol.Peers.
func (p *fakePeers) Ping(ctx context.Context, i pollenroute.Instance, request pollenpeer.PingRequest) (pollenpeer.PingReply, error) {
	reply, _, err := callNode(ctx, p, i, func(to *Node) pollenpeer.PingReply { return to.Instance.PeerHandler().Ping(request) })
	return reply, err
}

// Watch implements pollencontrol.Peers.
func (p *fakePeers) Watch(ctx context.Context, i pollenroute.Instance, request pollenpeer.WatchRequest) (pollenpeer.WatchReply, error) {
	reply, _, err := callNode(ctx, p, i, func(to *Node) pollenpeer.WatchReply {
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
	reply, _, err := callNode(ctx, p, i, func(to *Node) pollenpeer.InForceReply {
		callCtx, cancel := context.WithTimeout(to.ctx, request.Wait)
		defer cancel()
		return to.Instance.PeerHandler().InForce(callCtx, request)
	})
	return reply, err
}

// fakeBackend is a node's client of a backend server.
type fakeBackend struct {
	node   *Node
	server *pollenroute.Server
}

// Send implements pollenowner.Backend.
func (b *fakeBackend) Send(ctx context.Context, request *pollenbackend.Request) (*pollenbackend.Answer, error) {
	t := b.node.trial
	if b.node.waitWhilePaused(ctx) && !t.Config.LateSends {
		// The pause is taken to precede the check before the send; docs/PROOFS.md covers a pause between the two.
		return nil, &pollenbackend.NotSentError{Err: errUnreachable}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(b.node.ctx, cancel)()
	if b.node.isStopped() || ctx.Err() != nil {
		return nil, &pollenbackend.NotSentError{Err: errUnreachable}
	}
	if t.isSilent(b) {
		<-ctx.Done()
		return nil, &pollenbackend.LostError{Err: ctx.Err()}
	}
	t.recordSend(b)
	answer, err := t.Servers[b.server.Name].Answer(ctx, request)
	b.node.waitWhilePaused(ctx)
	if err != nil {
		return nil, &pollenbackend.LostError{Err: err}
	}
	if err := pollenbackend.Verify(request, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// CloseIdleConnections implements pollenowner.Backend; it ends FaultSilent, since new connections work.
func (b *fakeBackend) CloseIdleConnections() { b.node.trial.clearSilence(b) }
