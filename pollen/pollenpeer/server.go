package pollenpeer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenmemory"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenrpc"
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

// ServerConfig holds the parameters of a Server.
type ServerConfig struct {
	// Handler handles the calls.
	Handler Handler
	// Messages bounds the memory that the messages of calls take.
	Messages *pollenmemory.Budget
}

// Server serves the calls of other instances.
type Server struct {
	config ServerConfig
	rpc    *rpc.Server

	mu sync.Mutex
	// conns holds the open connections.
	conns  map[net.Conn]bool
	closed bool
}

// NewServer returns a server that passes calls to the handler.
func NewServer(config ServerConfig) *Server {
	s := &Server{config: config, rpc: rpc.NewServer(), conns: make(map[net.Conn]bool)}
	service := &service{handler: config.Handler, cancels: make(map[string]context.CancelFunc)}
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
			s.serveConn(conn)
			s.remove(conn)
		}()
	}
}

// serveConn serves the calls on a connection until it ends.
func (s *Server) serveConn(conn net.Conn) {
	pollenrpc.Serve(s.rpc, conn, pollenrpc.Config{
		MaxMessageBytes: maxMessageBytes, MaxCalls: maxCalls, DecodedFactor: decodedFactor, Messages: s.config.Messages, Connection: pollenrpc.CountedConnection(conn),
	})
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

const (
	// maxMessageBytes bounds a message of a call: the largest hold a caller's request of at most 4 MB.
	maxMessageBytes = 5 << 20
	// maxCalls bounds the calls of one connection that are handled at once: sub-queries of all queries of an instance share one.
	maxCalls = 4096
	// decodedFactor is the memory that a message takes at most, relative to its size: most of it is requests and answers as bytes.
	decodedFactor = 3
)

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
