package pollenmessage

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenline.example/pollen/pollenschema"
)

// RequestID names a request; only Incarnation may run an action under it, and only before Expiry.
type RequestID struct {
	Incarnation string
	Nonce       string
	Expiry      time.Time
}

// SubQuery is the part of a request that one backend server is to answer.
type SubQuery struct {
	// ID is unique among all sub-queries of all instances.
	ID       string
	Request  RequestID
	Service  string
	Snapshot string
	Server   string
	Shards   []string
	Class    pollenschema.Class
	// Sent is the sender's wall clock; with Timeout it bounds how late a paused receiver may start.
	Sent       time.Time
	Timeout    time.Duration
	Idempotent bool
	// Hedge marks a second copy of a sub-query that is still running elsewhere.
	Hedge   bool
	Payload []byte
}

// ShardState tells what a backend server said of one shard.
type ShardState int

// The states of a shard in an answer.
const (
	ShardAnswered ShardState = iota + 1
	ShardNotHeld
	ShardLost
)

// ShardAnswer is what a backend server answered for one shard.
type ShardAnswer struct {
	Shard string
	State ShardState
	Rows  [][]byte
}

// SubAnswer is the outcome of one sub-query.
type SubAnswer struct {
	ID       string
	Outcome  pollenschema.Outcome
	Reason   pollenschema.Reason
	Detail   string
	Snapshot string
	Shards   []ShardAnswer
	// Checksum covers Shards as Checksum computes it.
	Checksum uint64
	// Warm is set when the backend server takes hedges.
	Warm bool
	// Typical is the median answer time of the backend server when warm, zero if the owner does not know it yet.
	Typical time.Duration
	// Sends counts the copies that went to the backend server.
	Sends int
}

// Refuse returns the answer to a sub-query that did not run.
func (q *SubQuery) Refuse(reason pollenschema.Reason, detail string) SubAnswer {
	return SubAnswer{ID: q.ID, Outcome: pollenschema.Outcome_OUTCOME_NOT_RUN, Reason: reason, Detail: detail}
}

// Unknown returns the answer to a sub-query that may have run.
func (q *SubQuery) Unknown(reason pollenschema.Reason, detail string) SubAnswer {
	return SubAnswer{ID: q.ID, Outcome: pollenschema.Outcome_OUTCOME_UNKNOWN, Reason: reason, Detail: detail}
}

// Checksum returns a hash over shard names, states and rows, each with its length.
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

// RowsChecksum returns the length in bytes and the hash of a merged answer.
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

// ParseClass reads the short name of a class, such as "urgent".
func ParseClass(name string) (pollenschema.Class, error) {
	for class, text := range classNames {
		if text == name {
			return class, nil
		}
	}
	return 0, &ClassError{Name: name}
}

// ClassName returns the short name of a class.
func ClassName(class pollenschema.Class) string {
	if name, ok := classNames[class]; ok {
		return name
	}
	return "unspecified"
}

// ClassError reports a class that does not exist.
type ClassError struct {
	Name string
}

func (e *ClassError) Error() string {
	return fmt.Sprintf("no class %q: want urgent, normal or archive", e.Name)
}

var classNames = map[pollenschema.Class]string{
	pollenschema.Class_CLASS_URGENT:  "urgent",
	pollenschema.Class_CLASS_NORMAL:  "normal",
	pollenschema.Class_CLASS_ARCHIVE: "archive",
}

func writeField(digest *xxhash.Digest, field []byte) uint64 {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
	// A Digest never returns an error from Write.
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(field)
	return uint64(len(field))
}
