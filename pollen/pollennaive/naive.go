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

// Config holds the functions by which a Root reaches the configuration, the backend servers and the metrics.
type Config struct {
	// Table returns the routing table in force.
	Table func() *pollenroute.Table
	// Connect returns a client of a backend server.
	Connect func(server *pollenroute.Server) pollenowner.Backend
	// OnSend is called for every request sent to a backend server, and OnAnswer for every one that ran and was answered.
	OnSend   func()
	OnAnswer func()
}

// Root answers callers' requests by the naive policy.
type Root struct {
	config   Config
	mu       sync.Mutex
	backends map[string]pollenowner.Backend
}

// New returns a root without clients; it connects to a backend server before the first request to it.
func New(config Config) *Root {
	return &Root{config: config, backends: make(map[string]pollenowner.Backend)}
}

// Answer queries the shards of a request and returns the merged response.
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
	rowsByShard := r.queryShards(ctx, request, snapshot.Name, shards)
	return newResponse(request, snapshot, shards, rowsByShard)
}

// maxAttempts bounds the number of requests for each shard.
const maxAttempts = 3

// queryShards queries a random replica of each shard and retries the shards that failed; it returns rows by shard.
func (r *Root) queryShards(ctx context.Context, request *pollenschema.QueryRequest, snapshot string, shards []pollenroute.Shard) map[string][][]byte {
	rowsByShard := make(map[string][][]byte)
	for range maxAttempts {
		byServer := make(map[*pollenroute.Server][]string)
		for _, shard := range shards {
			if _, done := rowsByShard[shard.Name]; !done && len(shard.Servers) > 0 {
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
				r.config.OnAnswer()
				mu.Lock()
				defer mu.Unlock()
				for _, s := range answer.Shards {
					if s.State == pollenmessage.ShardAnswered {
						rowsByShard[s.Shard] = s.Rows
					}
				}
			})
		}
		group.Wait()
		if len(rowsByShard) == len(shards) || ctx.Err() != nil {
			break
		}
	}
	return rowsByShard
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
		r.config.OnSend()
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

// newResponse returns a response with the answered shards; its outcome is unknown if no shard was answered.
func newResponse(request *pollenschema.QueryRequest, snapshot *pollenroute.Snapshot, shards []pollenroute.Shard, rowsByShard map[string][][]byte) *pollenschema.QueryResponse {
	response := &pollenschema.QueryResponse{
		Id: request.Id, Outcome: pollenschema.Outcome_OUTCOME_DONE, Snapshot: snapshot.Name, Versions: snapshot.Versions,
		Coverage: &pollenschema.Coverage{Total: uint32(len(shards))},
	}
	for _, shard := range shards {
		rows, ok := rowsByShard[shard.Name]
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
