package pollennaive

import (
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenline.example/pollen/pollenbackend"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenowner"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
)

// Config configures a Root.
type Config struct {
	// Table returns the table in force.
	Table func() *pollenroute.Table
	// Connect returns the way to a backend server.
	Connect func(server *pollenroute.Server) pollenowner.Backend
	// Sent is told of every copy that goes to a backend server, and Needed of every one that was answered.
	Sent   func()
	Needed func()
}

// Root answers requests by the naive policy.
type Root struct {
	config   Config
	mu       sync.Mutex
	backends map[string]pollenowner.Backend
}

// New returns a root.
func New(config Config) *Root {
	return &Root{config: config, backends: make(map[string]pollenowner.Backend)}
}

// Answer runs a request.
func (r *Root) Answer(ctx context.Context, request *pollenschema.QueryRequest) *pollenschema.QueryResponse {
	ctx, cancel := context.WithTimeout(ctx, request.GetTimeout().AsDuration())
	defer cancel()
	service, ok := r.config.Table().Services[request.Service]
	if !ok || len(service.Snapshots) == 0 {
		return &pollenschema.QueryResponse{
			Id: request.Id, Outcome: pollenschema.Outcome_OUTCOME_NOT_RUN, Reason: pollenschema.Reason_REASON_UNKNOWN_SERVICE,
			Coverage: &pollenschema.Coverage{},
		}
	}
	snapshot := service.Snapshots[0]
	shards := snapshot.Shards
	if !request.Idempotent {
		n := xxhash.Sum64String(request.Key) % uint64(len(shards))
		shards = shards[n : n+1]
	}
	answered := r.ask(ctx, request, snapshot.Name, shards)
	return merge(request, snapshot, shards, answered)
}

// tries bounds how often each shard is asked for.
const tries = 3

// ask asks random replicas for all shards, and others for those that failed.
func (r *Root) ask(ctx context.Context, request *pollenschema.QueryRequest, snapshot string, shards []pollenroute.Shard) map[string][][]byte {
	answered := make(map[string][][]byte)
	for range tries {
		byServer := make(map[*pollenroute.Server][]string)
		for _, shard := range shards {
			if _, done := answered[shard.Name]; !done && len(shard.Servers) > 0 {
				server := shard.Servers[mathrand.IntN(len(shard.Servers))]
				byServer[server] = append(byServer[server], shard.Name)
			}
		}
		var mu sync.Mutex
		var group sync.WaitGroup
		for server, names := range byServer {
			group.Go(func() {
				answer, err := r.send(ctx, request, snapshot, server, names)
				if err != nil || answer.NotRun {
					return
				}
				r.config.Needed()
				mu.Lock()
				defer mu.Unlock()
				for _, s := range answer.Shards {
					if s.State == pollenmessage.ShardAnswered {
						answered[s.Shard] = s.Rows
					}
				}
			})
		}
		group.Wait()
		if len(answered) == len(shards) || ctx.Err() != nil {
			break
		}
	}
	return answered
}

func (r *Root) send(ctx context.Context, request *pollenschema.QueryRequest, snapshot string, server *pollenroute.Server, shards []string) (*pollenbackend.Answer, error) {
	deadline, _ := ctx.Deadline()
	message := &pollenbackend.Request{
		ID: rand.Text(), Service: request.Service, Snapshot: snapshot, Shards: shards, Payload: request.Payload,
		TimeoutMicroseconds: time.Until(deadline).Microseconds(),
	}
	if !request.Idempotent {
		message.Action = request.GetId().GetIncarnation() + "/" + request.GetId().GetNonce()
	}
	answer, err := r.backend(server).Send(ctx, message)
	var notSent *pollenbackend.NotSentError
	if !errors.As(err, &notSent) {
		r.config.Sent()
	}
	return answer, err
}

func (r *Root) backend(server *pollenroute.Server) pollenowner.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.backends[server.ID()]
	if !ok {
		b = r.config.Connect(server)
		r.backends[server.ID()] = b
	}
	return b
}

func merge(request *pollenschema.QueryRequest, snapshot *pollenroute.Snapshot, shards []pollenroute.Shard, answered map[string][][]byte) *pollenschema.QueryResponse {
	response := &pollenschema.QueryResponse{
		Id: request.Id, Outcome: pollenschema.Outcome_OUTCOME_DONE, Snapshot: snapshot.Name, Versions: snapshot.Versions,
		Coverage: &pollenschema.Coverage{Total: uint32(len(shards))},
	}
	for _, shard := range shards {
		rows, ok := answered[shard.Name]
		if !ok {
			response.Coverage.Missing = append(response.Coverage.Missing, &pollenschema.MissingShard{Shard: shard.Name, Reason: pollenschema.Reason_REASON_CONNECTION})
			continue
		}
		response.Coverage.Covered++
		response.Shards = append(response.Shards, &pollenschema.ShardRows{Shard: shard.Name, Rows: rows})
	}
	response.Length, response.Checksum = pollenmessage.RowsChecksum(response.Shards)
	if response.Coverage.Covered == 0 {
		response.Outcome = pollenschema.Outcome_OUTCOME_UNKNOWN
	}
	return response
}
