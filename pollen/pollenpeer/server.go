package pollenpeer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenmessage"
)

// Handler handles the calls of other instances.
type Handler interface {
	// Execute runs a sub-query.
	Execute(ctx context.Context, q *pollenmessage.SubQuery) pollenmessage.SubAnswer
	// Forward answers a caller's encoded request that another instance forwarded.
	Forward(ctx context.Context, request []byte) ([]byte, error)
	// Ping returns the status of this instance.
	Ping(request PingRequest) PingReply
	// Watch returns changes of the replica, waiting at most request.Wait for one.
	Watch(ctx context.Context, request WatchRequest) (WatchReply, error)
	// InForce waits until at least request.Revision is in force or ctx is done, and returns the revision in force.
	InForce(ctx context.Context, request InForceRequest) InForceReply
}

// Server serves the calls of other instances.
type Server struct {
	rpc *rpc.Server

	mu sync.Mutex
	// conns holds the open connections.
	conns  map[net.Conn]bool
	closed bool
}

// NewServer returns a server that passes calls to a handler.
func NewServer(handler Handler) *Server {
	s := &Server{rpc: rpc.NewServer(), conns: make(map[net.Conn]bool)}
	service := &service{handler: handler, cancels: make(map[string]context.CancelFunc)}
	if err := s.rpc.RegisterName(serviceName, service); err != nil {
		panic(err)
	}
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			klog.InfoS("Peer listener closed", "cause", err.Error())
			return
		}
		if !s.add(conn) {
			_ = conn.Close()
			return
		}
		go func() {
			s.rpc.ServeConn(conn)
			s.remove(conn)
		}()
	}
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

const serviceName = "Peer"

// watchMargin is added to the wait of a Watch request to bound its handler.
const watchMargin = 200 * time.Millisecond

// add registers a connection and reports whether the server is still open.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

// remove removes a connection that has ended.
func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// service holds the methods that net/rpc exports.
type service struct {
	handler Handler
	mu      sync.Mutex
	// cancels holds the cancel functions of running calls by call ID.
	cancels map[string]context.CancelFunc
}

// Execute runs a sub-query.
func (s *service) Execute(request *ExecuteRequest, reply *ExecuteReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), request.SubQuery.Timeout)
	defer s.track(request.SubQuery.ID, cancel)()
	reply.Answer = s.handler.Execute(ctx, &request.SubQuery)
	return nil
}

// Forward answers a caller's request that another instance forwarded.
func (s *service) Forward(request *ForwardRequest, reply *ForwardReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), request.Timeout)
	defer s.track(request.ID, cancel)()
	response, err := s.handler.Forward(ctx, request.Request)
	reply.ID = request.ID
	reply.Response = response
	return err
}

// Cancel cancels a running call.
func (s *service) Cancel(request *CancelRequest, _ *Empty) error {
	s.mu.Lock()
	cancel, ok := s.cancels[request.ID]
	s.mu.Unlock()
	if ok {
		cancel()
	}
	return nil
}

// Ping returns the status of this instance.
func (s *service) Ping(request *PingRequest, reply *PingReply) error {
	*reply = s.handler.Ping(*request)
	return nil
}

// Watch waits for changes of the replica.
func (s *service) Watch(request *WatchRequest, reply *WatchReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), request.Wait+watchMargin)
	defer cancel()
	answer, err := s.handler.Watch(ctx, *request)
	*reply = answer
	return err
}

// InForce waits until at least the requested configuration revision is in force.
func (s *service) InForce(request *InForceRequest, reply *InForceReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), request.Wait)
	defer cancel()
	*reply = s.handler.InForce(ctx, *request)
	return nil
}

// track makes a call cancellable and returns the function to call when it has ended.
func (s *service) track(id string, cancel context.CancelFunc) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[id] = cancel
	return func() {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cancels, id)
	}
}
