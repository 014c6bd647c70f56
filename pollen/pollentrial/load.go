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
	// Rate is the number of requests per second.
	Rate float64
	// ActionShare is the share of requests that are actions.
	ActionShare float64
	// CopyShare is the share of requests that are sent a second time, some of them after their expiry.
	CopyShare float64
	Timeout   time.Duration
}

// Result holds one copy of a request and its response or error; Node is the node that it was sent to, and Zone that node's.
type Result struct {
	Nonce   string
	Service string
	Action  bool
	Payload []byte
	Node    *Node
	Zone    string
	Sent    time.Time
	Ended   time.Time
	// Copy is set for the second copy of a request.
	Copy     bool
	Response *pollenschema.QueryResponse
	Err      error
}

const (
	// idLifetime is the time from a request's creation to the expiry of its id.
	idLifetime = 6 * time.Second
	// lateCopyShare is the share of copies that are sent after the id's expiry.
	lateCopyShare = 0.3
	// lateCopyDelay is the minimum delay of a late copy; it exceeds idLifetime.
	lateCopyDelay = 8 * time.Second
	// callMargin is how long callers wait beyond their timeout.
	callMargin = 100 * time.Millisecond
)

// RunLoad sends requests for the given duration and returns once every request is answered or has failed.
func (t *Trial) RunLoad(load Load, duration time.Duration) {
	var requests sync.WaitGroup
	defer requests.Wait()
	end := time.Now().Add(duration)
	cache := &locateCache{}
	for number := 0; time.Now().Before(end); number++ {
		time.Sleep(time.Duration(float64(time.Second) / load.Rate))
		request, n := t.newRequest(load, cache, number)
		if n == nil {
			continue
		}
		requests.Go(func() { t.sendRequest(n, proto.CloneOf(request), false, load) })
		if t.randomBool(load.CopyShare) {
			requests.Go(func() { t.sendCopy(request, load) })
		}
	}
}

// Results returns the results of all copies of requests.
func (t *Trial) Results() []Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.results
}

// locateCache holds a caller's Locate response and when it expires.
type locateCache struct {
	response *pollenschema.LocateResponse
	expires  time.Time
}

// locateInstance chooses an instance at random, without regard to weights, from a cached Locate response that has not
// expired.
func (t *Trial) locateInstance(cache *locateCache) *pollenschema.Instance {
	if !time.Now().Before(cache.expires) {
		cache.response = nil
		for _, n := range t.Nodes() {
			if !n.IsAvailable() {
				continue
			}
			response, err := n.Instance.CallerHandler().Locate(n.ctx, &pollenschema.LocateRequest{})
			if err == nil {
				cache.response = response
				cache.expires = time.Now().Add(response.Lifetime.AsDuration())
				// Ending here half of the time makes the response come from different nodes.
				if t.randomBool(0.5) {
					break
				}
			}
		}
	}
	if cache.response == nil {
		return nil
	}
	return cache.response.Instances[t.randomIntN(len(cache.response.Instances))]
}

func (t *Trial) newRequest(load Load, cache *locateCache, number int) (*pollenschema.QueryRequest, *Node) {
	i := t.locateInstance(cache)
	if i == nil {
		return nil, nil
	}
	family := t.Firm.Families[t.randomIntN(len(t.Firm.Families))]
	nonce := fmt.Sprintf("request-%d", number)
	return &pollenschema.QueryRequest{
		Id:      &pollenschema.RequestId{Incarnation: i.Incarnation, Nonce: nonce, Expiry: timestamppb.New(time.Now().Add(idLifetime))},
		Service: pollenfirm.ServiceName(family, t.randomIntN(family.Services)), Class: family.Class, Caller: family.Name,
		Timeout: durationpb.New(load.Timeout), Idempotent: !t.randomBool(load.ActionShare),
		Key: nonce, Payload: []byte(nonce),
	}, t.nodeByName(i.Name)
}

// sendCopy sends a copy of a request to a random available node, within 400 ms or after the id's expiry.
func (t *Trial) sendCopy(request *pollenschema.QueryRequest, load Load) {
	delay := time.Duration(t.randomIntN(int(400 * time.Millisecond)))
	fault := FaultCopy
	if t.randomBool(lateCopyShare) {
		delay += lateCopyDelay
		fault = FaultLateCopy
	}
	time.Sleep(delay)
	if n, ok := t.AvailableNode(t.randomIntN(1000)); ok {
		t.CountFault(fault)
		t.sendRequest(n, proto.CloneOf(request), true, load)
	}
}

// sendRequest sends one copy of a request to a node and records its result.
func (t *Trial) sendRequest(n *Node, request *pollenschema.QueryRequest, isCopy bool, load Load) {
	result := Result{
		Nonce: request.Id.Nonce, Service: request.Service, Action: !request.Idempotent, Payload: request.Payload,
		Node: n, Zone: n.Zone, Sent: time.Now(), Copy: isCopy,
	}
	t.addInFlight(n, 1)
	defer t.addInFlight(n, -1)
	ctx, cancel := context.WithTimeout(t.ctx, load.Timeout+callMargin)
	defer cancel()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		n.waitWhilePaused(n.ctx)
		if n.isStopped() {
			result.Err = errUnreachable
			return
		}
		result.Response, result.Err = n.Instance.CallerHandler().Query(ctx, request)
		n.waitWhilePaused(n.ctx)
	}()
	select {
	case <-answered:
	case <-n.ctx.Done():
		// A node that stops breaks its callers' connections.
		<-answered
		result.Response, result.Err = nil, errUnreachable
	}
	// A killed node also loses the answers that were ready when it stopped; a graceful shutdown delivers them first.
	if n.isStopped() && !n.hasFinishedStop() {
		result.Response, result.Err = nil, errUnreachable
	}
	result.Ended = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, result)
}

func (t *Trial) addInFlight(n *Node, delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[n] += delta
}

func (n *Node) hasFinishedStop() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopFinished
}
