package pollenrelay

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenreplica"
	"pollenline.example/pollen/pollenroster"
	"pollenline.example/pollen/pollenstore"
)

// ListRequest asks for all keys.
type ListRequest struct{}

// WatchRequest waits for events after a revision.
type WatchRequest struct {
	// Follower is the instance that asks.
	Follower pollencatalog.Instance
	// Standby is set if the follower is not named to callers.
	Standby bool
	After   uint64
	Wait    time.Duration
}

// Reply holds a listing or changes.
type Reply struct {
	Listing pollenstore.Listing
	Changes pollenstore.Changes
	// Compacted is set if the events after the revision are no longer kept.
	Compacted bool
	// Stale is set if the instance has not heard the store lately.
	Stale bool
	// Rank is the follower's place among those that stand by, zero for the first.
	Rank int
}

// ServerConfig configures a Server.
type ServerConfig struct {
	// Freshness is the longest time since the store's last answer for which the replica is passed on.
	Freshness time.Duration
}

// Server keeps a replica of the store and passes it on to other instances.
type Server struct {
	config  ServerConfig
	replica *pollenreplica.Replica

	mu        sync.Mutex
	heard     time.Time
	followers map[string]follower
}

type follower struct {
	instance pollencatalog.Instance
	standby  bool
	seen     time.Time
}

// NewServer returns a Server that has not heard the store.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config, replica: pollenreplica.New(), followers: make(map[string]follower)}
}

// Heard notes that the store itself has answered; a zero time withdraws what was noted.
func (s *Server) Heard(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = at
}

// Reset replaces the replica.
func (s *Server) Reset(listing pollenstore.Listing) { s.replica.Reset(listing) }

// Apply takes events into the replica.
func (s *Server) Apply(changes pollenstore.Changes) { s.replica.Apply(changes) }

// Serve answers calls on a listener until it is closed.
func (s *Server) Serve(listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &service{server: s}); err != nil {
		return err
	}
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			klog.ErrorS(err, "Connection of a peer not accepted")
			time.Sleep(acceptPause)
			continue
		}
		go server.ServeConn(conn)
	}
}

const (
	serviceName = "Relay"
	methodList  = serviceName + ".List"
	methodWatch = serviceName + ".Watch"
	// acceptPause keeps a failing listener from taking the processor.
	acceptPause = 50 * time.Millisecond
)

func (s *Server) stale() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard.IsZero() || time.Since(s.heard) > s.config.Freshness
}

// followerMemory is how long a follower that asks no more keeps its rank; followers ask about twice a second.
const followerMemory = 3 * time.Second

// rank notes that a follower lives and returns its place among those that stand by.
func (s *Server) rank(instance pollencatalog.Instance, standby bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.followers[instance.Name] = follower{instance: instance, standby: standby, seen: now}
	rank := 0
	for name, f := range s.followers {
		switch {
		case now.Sub(f.seen) > followerMemory:
			delete(s.followers, name)
		case f.standby && pollenroster.Compare(f.instance, instance) < 0:
			rank++
		}
	}
	return rank
}

// service holds the methods that are called by net/rpc.
type service struct {
	server *Server
}

// List returns all keys.
func (s *service) List(_ ListRequest, reply *Reply) error {
	if reply.Stale = s.server.stale(); !reply.Stale {
		reply.Listing = s.server.replica.List("")
	}
	return nil
}

// Watch waits for events.
func (s *service) Watch(request WatchRequest, reply *Reply) error {
	reply.Rank = s.server.rank(request.Follower, request.Standby)
	if reply.Stale = s.server.stale(); reply.Stale {
		return nil
	}
	var compacted *pollenstore.CompactedError
	changes, err := s.server.replica.Watch(context.Background(), request.After, request.Wait)
	if errors.As(err, &compacted) {
		reply.Compacted = true
		return nil
	}
	reply.Changes, reply.Stale = changes, s.server.stale()
	return err
}
