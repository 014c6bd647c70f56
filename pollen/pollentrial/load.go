package pollentrial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"pollenline.example/pollen/pollenfirm"
	"pollenline.example/pollen/pollenschema"
)

// Load describes the requests of a trial.
type Load struct {
	// Rate is the number of requests a second.
	Rate float64
	// ActionShare of the requests are actions.
	ActionShare float64
	// CopyShare of the requests are sent a second time, some of them long after.
	CopyShare float64
	Timeout   time.Duration
}

// Result is what one copy of a request got.
type Result struct {
	Nonce   string
	Service string
	Action  bool
	Payload []byte
	Node    *Node
	Zone    string
	Sent    time.Time
	Ended   time.Time
	// Copy is set for a second copy of an earlier request.
	Copy     bool
	Response *pollenschema.QueryResponse
	Err      error
}

const (
	// idLifetime is how long request ids stay valid.
	idLifetime = 6 * time.Second
	// lateCopyShare of the copies come after the id's expiry.
	lateCopyShare = 0.3
	lateCopyDelay = 8 * time.Second
	// callMargin is what callers wait beyond their timeout.
	callMargin = 100 * time.Millisecond
)

// Drive sends requests for a time and returns when the last one is answered.
func (t *Trial) Drive(load Load, duration time.Duration) {
	var requests sync.WaitGroup
	defer requests.Wait()
	end := time.Now().Add(duration)
	located := &locateCache{}
	for number := 0; time.Now().Before(end); number++ {
		time.Sleep(time.Duration(float64(time.Second) / load.Rate))
		request, n := t.request(load, located, number)
		if n == nil {
			continue
		}
		requests.Go(func() { t.ask(n, proto.CloneOf(request), false, load) })
		if t.chance(load.CopyShare) {
			requests.Go(func() { t.copy(request, load) })
		}
	}
}

// Results returns what callers got.
func (t *Trial) Results() []Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.results
}

// locateCache is a caller's memory of its Locate answer.
type locateCache struct {
	response *pollenschema.LocateResponse
	expires  time.Time
}

// locate returns an instance as a caller would choose it: from memory while the answer is fresh.
func (t *Trial) locate(cache *locateCache) *pollenschema.Instance {
	if !time.Now().Before(cache.expires) {
		cache.response = nil
		for _, n := range t.Nodes() {
			if !n.Live() {
				continue
			}
			response, err := n.Instance.Caller().Locate(n.ctx, &pollenschema.LocateRequest{})
			if err == nil {
				cache.response = response
				cache.expires = time.Now().Add(response.Lifetime.AsDuration())
				if t.chance(0.5) {
					break
				}
			}
		}
	}
	if cache.response == nil {
		return nil
	}
	return cache.response.Instances[t.intN(len(cache.response.Instances))]
}

func (t *Trial) request(load Load, cache *locateCache, number int) (*pollenschema.QueryRequest, *Node) {
	i := t.locate(cache)
	if i == nil {
		return nil, nil
	}
	family := t.Firm.Families[t.intN(len(t.Firm.Families))]
	nonce := fmt.Sprintf("request-%d", number)
	return &pollenschema.QueryRequest{
		Id:      &pollenschema.RequestId{Incarnation: i.Incarnation, Nonce: nonce, Expiry: timestamppb.New(time.Now().Add(idLifetime))},
		Service: pollenfirm.ServiceName(family, t.intN(family.Services)), Class: family.Class, Caller: family.Name,
		Timeout: durationpb.New(load.Timeout), Idempotent: !t.chance(load.ActionShare),
		Key: nonce, Payload: []byte(nonce),
	}, t.nodeNamed(i.Name)
}

// copy sends a request again: at once, a little later or after its expiry, to any node.
func (t *Trial) copy(request *pollenschema.QueryRequest, load Load) {
	delay := time.Duration(t.intN(int(400 * time.Millisecond)))
	fault := FaultCopy
	if t.chance(lateCopyShare) {
		delay += lateCopyDelay
		fault = FaultLateCopy
	}
	time.Sleep(delay)
	if n, ok := t.LiveNode(t.intN(1000)); ok {
		t.Met(fault)
		t.ask(n, proto.CloneOf(request), true, load)
	}
}

// ask sends one copy of a request to a node and records what comes back.
func (t *Trial) ask(n *Node, request *pollenschema.QueryRequest, again bool, load Load) {
	result := Result{
		Nonce: request.Id.Nonce, Service: request.Service, Action: !request.Idempotent, Payload: request.Payload,
		Node: n, Zone: n.Zone, Sent: time.Now(), Copy: again,
	}
	t.count(n, 1)
	defer t.count(n, -1)
	ctx, cancel := context.WithTimeout(t.ctx, load.Timeout+callMargin)
	defer cancel()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		n.pass(n.ctx)
		if n.isDead() {
			result.Err = errCut
			return
		}
		result.Response, result.Err = n.Instance.Caller().Query(ctx, request)
		n.pass(n.ctx)
	}()
	select {
	case <-answered:
	case <-n.ctx.Done():
		// A node that dies breaks its callers' connections.
		<-answered
		result.Response, result.Err = nil, errCut
	}
	if n.isDead() && !n.hasLeft() {
		result.Response, result.Err = nil, errCut
	}
	result.Ended = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, result)
}

func (t *Trial) count(n *Node, change int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[n] += change
}

func (n *Node) hasLeft() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.left
}
