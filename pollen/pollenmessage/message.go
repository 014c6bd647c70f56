package pollenmessage

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenline.example/pollen/pollenschema"
)

// RequestID identifies a request; only the named incarnation may run it, and only before Expiry.
type RequestID struct {
	Incarnation string
	// Nonce is unique among the requests to the incarnation.
	Nonce  string
	Expiry time.Time
}

// SubQuery is the part of a request that is sent to one backend server.
type SubQuery struct {
	// ID is unique across all sub-queries of all instances.
	ID       string
	Request  RequestID
	Service  string
	Snapshot string
	Server   string
	Shards   []string
	Class    pollenschema.Class
	// Sent is the send time by the sender's wall clock. With Timeout, it lets a receiver that was paused refuse a
	// sub-query whose deadline has passed.
	Sent time.Time
	// Timeout is the time from Sent to the deadline.
	Timeout    time.Duration
	Idempotent bool
	// Hedge is set for a hedge, whose shards another sub-query in flight also asks for.
	Hedge   bool
	Payload []byte
}

// ShardState states whether a backend server answered for one shard.
type ShardState int

// The states of a shard in an answer.
const (
	// ShardAnswered is a shard whose rows are in the answer.
	ShardAnswered ShardState = iota + 1
	// ShardNotHeld is a shard of a snapshot that the server does not hold.
	ShardNotHeld
	// ShardLost is a shard whose data the server has lost.
	ShardLost
)

// ShardAnswer holds a backend server's answer for one shard.
type ShardAnswer struct {
	Shard string
	State ShardState
	Rows  [][]byte
}

// SubAnswer holds the outcome of one sub-query.
type SubAnswer struct {
	ID       string
	Outcome  pollenschema.Outcome
	Reason   pollenschema.Reason
	Detail   string
	Snapshot string
	Shards   []ShardAnswer
	// Checksum is the result of the function Checksum for Shards.
	Checksum uint64
	// Warm is set if the backend server is warm enough for hedges.
	Warm bool
	// Typical is the median answer time of the warm backend server, an average until the server is warm, or zero
	// before the first answer.
	Typical time.Duration
	// Sends is the number of requests sent to the backend server for the sub-query.
	Sends int
}

// Refuse returns an answer which states that the sub-query did not run.
func (q *SubQuery) Refuse(reason pollenschema.Reason, detail string) SubAnswer {
	return SubAnswer{ID: q.ID, Outcome: pollenschema.Outcome_OUTCOME_NOT_RUN, Reason: reason, Detail: detail}
}

// Unknown returns an answer which states that the sub-query may have run.
func (q *SubQuery) Unknown(reason pollenschema.Reason, detail string) SubAnswer {
	return SubAnswer{ID: q.ID, Outcome: pollenschema.Outcome_OUTCOME_UNKNOWN, Reason: reason, Detail: detail}
}

// Checksum returns a hash of the shard names, states and rows, each prefixed with its length.
func Checksum(answers []ShardAnswer) uint64 {
	digest := xxhash.New()
	for _, a := range answers {
		writeField(digest, []byte(a.Shard))
		writeField(digest, []byte{byte(a.State)})
		for _, row := range a.Rows {
			writeField(digest, row)
		}
	}
	return digest.Sum64()
}

// RowsChecksum returns the total length of the shard names and rows of a response in bytes, and their hash.
func RowsChecksum(shards []*pollenschema.ShardRows) (length, checksum uint64) {
	digest := xxhash.New()
	for _, s := range shards {
		length += writeField(digest, []byte(s.Shard))
		for _, row := range s.Rows {
			length += writeField(digest, row)
		}
	}
	return length, digest.Sum64()
}

// ParseClass returns the class with a short name, such as "urgent".
func ParseClass(name string) (pollenschema.Class, error) {
	for class, text := range classNames {
		if text == name {
			return class, nil
		}
	}
	return 0, &ClassError{Name: name}
}

// ClassName returns the short name of a class, or "unspecified" if it has none.
func ClassName(class pollenschema.Class) string {
	if name, ok := classNames[class]; ok {
		return name
	}
	return "unspecified"
}

// ClassError reports a name that no class has.
type ClassError struct {
	Name string
}

func (e *ClassError) Error() string {
	return fmt.Sprintf("no class %q: want urgent, normal or archive", e.Name)
}

// classNames holds the short name of each class, as in flags, metrics and traces.
var classNames = map[pollenschema.Class]string{
	pollenschema.Class_CLASS_URGENT:  "urgent",
	pollenschema.Class_CLASS_NORMAL:  "normal",
	pollenschema.Class_CLASS_ARCHIVE: "archive",
}

// writeField writes a length prefix and a field to a hash, and returns the length of the field in bytes.
func writeField(digest *xxhash.Digest, field []byte) uint64 {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
	// A Digest never returns an error from Write.
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(field)
	return uint64(len(field))
}
