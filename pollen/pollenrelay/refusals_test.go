package pollenrelay

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollensuspect"
)

// recordedRefusals records what an instance is told.
type recordedRefusals struct {
	mu       sync.Mutex
	messages []string
}

func (r *recordedRefusals) record(message string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, message)
}

func (r *recordedRefusals) RecordRefusal(content pollensuspect.Fingerprint, until time.Time) {
	r.record(fmt.Sprint("refused ", content[0], " for ", time.Until(until)))
}

func (r *recordedRefusals) RecordRepeat(content pollensuspect.Fingerprint) {
	r.record(fmt.Sprint("repeated ", content[0]))
}

// Load pattern: callers repeat refused requests at other instances within milliseconds. Those must know by then, whatever other peers do,
// and a refusal must not count for longer than its caller may repeat the request.
func TestRefusalsReachOtherInstances(t *testing.T) {
	tests := []struct {
		name string
		// serve serves the first of two peers; nil if it can't be reached.
		serve func(listener net.Listener)
	}{
		{"calm", func(l net.Listener) { NewServer(ServerConfig{Refusals: &recordedRefusals{}}).Serve(l) }},
		{"one is gone", nil},
		{"one does not answer", func(net.Listener) {}},
		{"one is of a former build", func(l net.Listener) {
			server := rpc.NewServer()
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go server.ServeConn(conn)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				told := &recordedRefusals{}
				peers := make([]pollencatalog.Instance, 2)
				listeners := make(map[netip.AddrPort]*pipeListener)
				dials := make(map[netip.AddrPort]int)
				for i := range peers {
					address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8106)
					peers[i] = pollencatalog.Instance{Name: fmt.Sprint(i), PeerAddress: address}
					listeners[address] = &pipeListener{conns: make(chan net.Conn, 8)}
				}
				if test.serve != nil {
					go test.serve(listeners[peers[0].PeerAddress])
				}
				go NewServer(ServerConfig{Refusals: told}).Serve(listeners[peers[1].PeerAddress])
				var mu sync.Mutex
				sharer := NewRefusalSharer(RefusalSharerConfig{Peers: func() []pollencatalog.Instance { return peers }, Timeout: time.Second, Dial: func(_ context.Context, address netip.AddrPort) (net.Conn, error) {
					mu.Lock()
					defer mu.Unlock()
					dials[address]++
					if address == peers[0].PeerAddress && test.serve == nil {
						return nil, errConnectionRefused
					}
					client, server := net.Pipe()
					listeners[address].conns <- server
					return client, nil
				}})
				ctx, cancel := context.WithCancel(t.Context())
				go sharer.Run(ctx)
				time.Sleep(time.Second)
				c.Check(dials, qt.HasLen, 0)
				sharer.ObserveRefusal(pollensuspect.Fingerprint{1}, time.Now().Add(time.Second))
				sharer.ObserveRefusal(pollensuspect.Fingerprint{2}, time.Now())
				sharer.ObserveRepeat(pollensuspect.Fingerprint{1})
				time.Sleep(refusalBatchDelay + time.Millisecond)
				c.Check(told.messages, qt.DeepEquals, []string{"refused 1 for 998ms", "repeated 1"})
				for range 2 * maxPendingBatches {
					sharer.ObserveRepeat(pollensuspect.Fingerprint{3})
					time.Sleep(2 * refusalBatchDelay)
				}
				c.Check(told.messages, qt.HasLen, 2+2*maxPendingBatches)
				mu.Lock()
				c.Check(dials[peers[1].PeerAddress], qt.Equals, 1)
				mu.Unlock()
				cancel()
				time.Sleep(time.Minute)
				for _, l := range listeners {
					l.Close()
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against a list of refusals without end in memory while the others don't take them.
func TestPendingRefusalsAreBounded(t *testing.T) {
	sharer := NewRefusalSharer(RefusalSharerConfig{})
	for range 2 * maxPendingRefusals {
		sharer.ObserveRepeat(pollensuspect.Fingerprint{1})
	}
	qt.Assert(t, sharer.pending, qt.HasLen, maxPendingRefusals)
}
