package pollenrelay

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenallowance"
	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenmemory"
	"pollenline.example/pollen/pollenreplica"
	"pollenline.example/pollen/pollenrollout"
	"pollenline.example/pollen/pollenroster"
	"pollenline.example/pollen/pollenrpc"
	"pollenline.example/pollen/pollenstore"
	"pollenline.example/pollen/pollensuspect"
)

// ListRequest is the argument of Relay.List and Relay.ListKnown, which return all keys.
type ListRequest struct {
	// Unpacks is set if the caller understands Reply.PackedValues.
	Unpacks bool
}

// WatchRequest is the argument of Relay.Watch, which waits for events after a revision.
type WatchRequest struct {
	// Follower is the instance that calls.
	Follower pollencatalog.Instance
	// Standby is set if the follower is not registered.
	Standby bool
	// After is the revision up to which the follower has the events, Era its era.
	After uint64
	Era   uint64
	// Wait is how long the call may be held without an event.
	Wait time.Duration
	// SuspectsVersion is the version of the watcher's evidence that the follower has.
	SuspectsVersion uint64
	// Unpacks is set if the follower understands Reply.PackedValues.
	Unpacks bool
}

// SuspectsRequest is the argument of Relay.ShareSuspects, which exchanges the evidence of two instances.
type SuspectsRequest struct {
	Suspects pollensuspect.Message
}

// RolloutsRequest is the argument of Relay.ReportRollouts, which tells a driver of rollouts what an instance has counted.
type RolloutsRequest struct {
	Reports []pollenrollout.Report
}

// Reply is the result of the methods of Relay.
type Reply struct {
	Listing pollenstore.Listing
	Changes pollenstore.Changes
	// Compacted is set if the replica does not hold the events after the follower's position.
	Compacted bool
	// Stale is set if the watcher's replica must not be used: its last call of the store failed or is too long ago.
	Stale bool
	// Rank is the number of standby followers that come before this one, Standbys that of all standby followers.
	Rank, Standbys int
	// Suspects is the instance's evidence against requests; it is empty if the caller has its version.
	Suspects pollensuspect.Message
	// Usage is the instance's usage report.
	Usage pollenallowance.Message
	// Rulings holds a ruling for each report on a rollout.
	Rulings []pollenrollout.Ruling
	// PackedValues holds the large values of Listing and Changes.
	PackedValues []PackedValue
}

// unusable reports whether a reply must not be used: it is stale, or of an instance that has not read any keys yet.
func (r *Reply) unusable() bool {
	return r.Stale || !r.Compacted && r.Listing.Revision == 0 && r.Changes.Revision == 0
}

// ServerConfig holds the parameters of a Server.
type ServerConfig struct {
	// MaxStaleness is the longest time since the store's last answer for which the replica is served.
	MaxStaleness time.Duration
	// Suspects holds the evidence against requests under which servers ended; if it is nil, there is none.
	Suspects *pollensuspect.Registry
	// Allowances holds the use of limited teams; if it is nil, there are none.
	Allowances *pollenallowance.Allowances
	// Refusals takes what other instances have refused; if it is nil, the instance takes no part in that.
	Refusals RefusalReceiver
	// Messages bounds the memory that the messages of calls take; if it is nil, only the size of each is bounded.
	Messages *pollenmemory.Budget
	// ReceiveRollout takes a report on a rollout; it is nil if the instance takes part in none.
	ReceiveRollout func(report pollenrollout.Report, now time.Time) pollenrollout.Ruling
}

// Server holds a replica of the store and serves it to other instances.
type Server struct {
	config  ServerConfig
	replica *pollenreplica.Replica
	packer  *packer

	mu sync.Mutex
	// lastContact is when the store last answered; zero if its last call failed.
	lastContact time.Time
	// followers holds the instances that called recently, by name.
	followers map[string]follower
}

// follower is an instance that reads from this server.
type follower struct {
	instance pollencatalog.Instance
	standby  bool
	lastSeen time.Time
}

// NewServer returns a Server whose replica is empty and stale.
func NewServer(config ServerConfig) *Server {
	if config.Suspects == nil {
		config.Suspects = pollensuspect.New(pollensuspect.Config{})
	}
	return &Server{config: config, replica: pollenreplica.New(), packer: newPacker(), followers: make(map[string]follower)}
}

// SetLastContact sets when the store itself last answered; a zero time makes the replica stale.
func (s *Server) SetLastContact(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastContact = at
}

// Reset replaces the replica by a listing if that is newer.
func (s *Server) Reset(listing pollenstore.Listing) {
	if !s.replica.Reset(listing) {
		klog.InfoS("Listing is not newer than the relayed keys", "revision", listing.Revision, "era", listing.Era, "relayed", s.replica.Position())
	}
}

// Apply applies the events that are newer than the replica.
func (s *Server) Apply(changes pollenstore.Changes) {
	if applied := s.replica.Apply(changes); len(applied) < len(changes.Events) {
		klog.InfoS("Events are not newer than the relayed keys", "revision", changes.Revision, "era", changes.Era, "relayed", s.replica.Position(),
			"events", len(changes.Events), "applied", len(applied))
	}
}

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
			klog.ErrorS(err, "Accepting a peer connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		go pollenrpc.Serve(server, &meteredConn{Conn: conn}, pollenrpc.Config{
			MaxMessageBytes: maxMessageBytes, MaxCalls: maxCalls, DecodedFactor: decodedFactor, Messages: s.config.Messages, Connection: pollenrpc.CountedConnection(conn),
		})
	}
}

const (
	serviceName     = "Relay"
	methodList      = serviceName + ".List"
	methodWatch     = serviceName + ".Watch"
	methodListKnown = serviceName + ".ListKnown"
	methodSuspects  = serviceName + ".ShareSuspects"
	methodUsage     = serviceName + ".ShareUsage"
	methodRollouts  = serviceName + ".ReportRollouts"
	methodRefusals  = serviceName + ".ShareRefusals"
	// acceptRetryDelay keeps a failing listener from using the whole processor.
	acceptRetryDelay = 50 * time.Millisecond
	// maxMessageBytes bounds a message of a call, and maxCalls the calls of one connection that are handled at once: a follower makes one,
	// or two when it lists.
	maxMessageBytes = 1 << 20
	maxCalls        = 16
	// decodedFactor is the memory that a message takes at most, relative to its size.
	decodedFactor = 24
	// maxWatchWait bounds the wait of a watch, whatever its follower asks for.
	maxWatchWait = 30 * time.Second
)

// stale reports whether the last call of the store failed or its answer is older than MaxStaleness.
func (s *Server) stale() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastContact.IsZero() || time.Since(s.lastContact) > s.config.MaxStaleness
}

// followerTimeout is how long a follower that no longer calls keeps its rank; followers call about twice a second.
const followerTimeout = 3 * time.Second

// updateRank records a follower's call, and returns the number of standby followers that come before it and that of all standby
// followers.
func (s *Server) updateRank(instance pollencatalog.Instance, standby bool) (rank, standbys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.followers[instance.Name] = follower{instance: instance, standby: standby, lastSeen: now}
	for name, f := range s.followers {
		switch {
		case now.Sub(f.lastSeen) > followerTimeout:
			delete(s.followers, name)
		case f.standby:
			standbys++
			if pollenroster.Compare(f.instance, instance) < 0 {
				rank++
			}
		}
	}
	return rank, standbys
}

// packFor compresses a reply's large values if the caller understands that.
func (s *Server) packFor(unpacks bool, reply *Reply) {
	if unpacks {
		s.packer.pack(reply)
	}
}

// service holds the methods that net/rpc calls.
type service struct {
	server *Server
}

// List returns all keys of the replica.
func (s *service) List(request ListRequest, reply *Reply) error {
	if reply.Stale = s.server.stale(); !reply.Stale {
		reply.Listing = s.server.replica.List("")
		s.server.packFor(request.Unpacks, reply)
	}
	return nil
}

// ListKnown returns all keys of the replica, even if it is stale; its revision is 0 if the replica was never filled.
func (s *service) ListKnown(request ListRequest, reply *Reply) error {
	reply.Listing, reply.Stale = s.server.replica.List(""), s.server.stale()
	s.server.packFor(request.Unpacks, reply)
	reply.Suspects = s.server.config.Suspects.Message(time.Now())
	return nil
}

// ShareSuspects adds the caller's evidence and returns this instance's.
func (s *service) ShareSuspects(request SuspectsRequest, reply *Reply) error {
	s.server.config.Suspects.Merge(request.Suspects, time.Now())
	reply.Suspects = s.server.config.Suspects.Message(time.Now())
	return nil
}

// ShareUsage adopts the caller's usage report and returns this instance's.
func (s *service) ShareUsage(request UsageRequest, reply *Reply) error {
	a := s.server.config.Allowances
	if a == nil {
		return errNoPart
	}
	a.Merge(request.Usage, time.Now())
	reply.Usage = a.Message(request.Usage.Instance, time.Now())
	return nil
}

// ReportRollouts takes an instance's reports on rollouts that this instance drives.
func (s *service) ReportRollouts(request RolloutsRequest, reply *Reply) error {
	if s.server.config.ReceiveRollout == nil {
		return errNoPart
	}
	for _, report := range request.Reports {
		reply.Rulings = append(reply.Rulings, s.server.config.ReceiveRollout(report, time.Now()))
	}
	return nil
}

// Watch waits for events after a revision and ranks the follower that calls.
func (s *service) Watch(request WatchRequest, reply *Reply) error {
	reply.Rank, reply.Standbys = s.server.updateRank(request.Follower, request.Standby)
	defer func() {
		if suspects := s.server.config.Suspects; suspects.Version() != request.SuspectsVersion {
			reply.Suspects = suspects.Message(time.Now())
		}
	}()
	after := pollenstore.Position{Era: request.Era, Revision: request.After}
	if reply.Stale = s.server.stale() || after.LaterEra(s.server.replica.Position()); reply.Stale {
		return nil
	}
	changes, err := s.server.replica.Watch(context.Background(), after, min(request.Wait, maxWatchWait))
	if pollenstore.HistoryGone(err) {
		reply.Compacted = true
		return nil
	}
	reply.Changes, reply.Stale = changes, s.server.stale()
	s.server.packFor(request.Unpacks, reply)
	return err
}
