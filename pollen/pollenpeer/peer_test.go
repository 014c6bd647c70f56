package pollenpeer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
)

// fakeHandler answers all calls, Execute after a delay, and reports the IDs of cancelled sub-queries.
type fakeHandler struct {
	delay     time.Duration
	cancelled chan string
}

func (h *fakeHandler) Execute(ctx context.Context, q *pollenmessage.SubQuery) pollenmessage.SubAnswer {
	select {
	case <-time.After(h.delay):
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			h.cancelled <- q.ID
		}
	}
	return pollenmessage.SubAnswer{ID: q.ID, Outcome: pollenschema.Outcome_OUTCOME_DONE}
}

func (h *fakeHandler) Forward(_ context.Context, request []byte) ([]byte, error) { return request, nil }

func (h *fakeHandler) Ping(PingRequest) PingReply { return PingReply{Name: "fake"} }

func (h *fakeHandler) Watch(context.Context, WatchRequest) (WatchReply, error) {
	return WatchReply{}, nil
}

func (h *fakeHandler) InForce(context.Context, InForceRequest) InForceReply { return InForceReply{} }

// serve starts a server on a local port and returns its instance.
func serve(t *testing.T, handler Handler) pollenroute.Instance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := NewServer(ServerConfig{Handler: handler})
	go server.Serve(listener)
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	return pollenroute.Instance{Name: "fake", Peer: netip.MustParseAddrPort(listener.Addr().String())}
}

// TestExecuteReturnsAnswer guards against answers that do not survive the encoding between instances.
func TestExecuteReturnsAnswer(t *testing.T) {
	c := qt.New(t)
	i := serve(t, &fakeHandler{})
	client := NewClient()
	defer client.Close()
	answer := client.Execute(context.Background(), i, &pollenmessage.SubQuery{ID: "1", Timeout: time.Minute})
	c.Check(answer.ID, qt.Equals, "1")
	c.Check(answer.Outcome, qt.Equals, pollenschema.Outcome_OUTCOME_DONE)
}

// TestCancelledExecuteHasUnknownOutcome guards against sub-queries that keep running after the sender has cancelled
// them, and against reporting them as not run.
func TestCancelledExecuteHasUnknownOutcome(t *testing.T) {
	c := qt.New(t)
	handler := &fakeHandler{delay: time.Hour, cancelled: make(chan string, 1)}
	i := serve(t, handler)
	client := NewClient()
	defer client.Close()
	// The ping opens the connection, so that the call is sent.
	_, err := client.Ping(context.Background(), i, PingRequest{})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	answer := client.Execute(ctx, i, &pollenmessage.SubQuery{ID: "2", Timeout: time.Hour})
	c.Check(answer.Outcome, qt.Equals, pollenschema.Outcome_OUTCOME_UNKNOWN)
	c.Check(<-handler.cancelled, qt.Equals, "2")
}

// TestExecuteWithoutConnectionIsNotRun guards against reporting an unknown outcome when nothing was sent.
func TestExecuteWithoutConnectionIsNotRun(t *testing.T) {
	c := qt.New(t)
	client := NewClient()
	i := pollenroute.Instance{Peer: netip.MustParseAddrPort("127.0.0.1:1")}
	answer := client.Execute(context.Background(), i, &pollenmessage.SubQuery{ID: "3", Timeout: time.Second})
	c.Check(answer.Outcome, qt.Equals, pollenschema.Outcome_OUTCOME_NOT_RUN)
}

// FuzzServer guards against input that makes the server panic or hang.
func FuzzServer(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0x3f, 0xff, 0x81, 0x03, 0x01, 0x01, 0x07})
	server := NewServer(ServerConfig{Handler: &fakeHandler{cancelled: make(chan string, 1)}})
	f.Fuzz(func(_ *testing.T, data []byte) {
		clientConn, serverConn := net.Pipe()
		served := make(chan struct{})
		go func() {
			server.serveConn(serverConn)
			close(served)
		}()
		_ = clientConn.SetDeadline(time.Now().Add(time.Second))
		_, _ = clientConn.Write(data)
		_ = clientConn.Close()
		<-served
	})
}

// Guards against a sub-query that counts as one that may have run, although the other instance does not know the call.
func TestUnknownCallIsNotRun(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	go rpc.NewServer().Accept(listener)
	client := NewClient()
	defer client.Close()
	i := pollenroute.Instance{Peer: netip.MustParseAddrPort(listener.Addr().String())}
	for range 2 {
		answer := client.Execute(t.Context(), i, &pollenmessage.SubQuery{ID: "4", Timeout: time.Second})
		c.Check(answer.Outcome, qt.Equals, pollenschema.Outcome_OUTCOME_NOT_RUN)
	}
	_, err = client.Ping(t.Context(), i, PingRequest{})
	c.Check(err, qt.ErrorAs, new(*UnsupportedError))
}
