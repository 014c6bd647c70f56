package pollenbackend

import (
	"fmt"

	"pollenline.example/pollen/pollenmessage"
)

// PathAnswer is the URL path to which a Request is posted; the response body is an Answer.
const PathAnswer = "/v1/answer"

// Request asks a backend server for the rows of some shards of a snapshot.
type Request struct {
	// ID is unique among the requests to the server.
	ID       string
	Service  string
	Snapshot string
	Shards   []string
	// Action is the caller's ID of a request that must not run twice; it is empty for idempotent requests.
	Action string
	// TimeoutMicroseconds is the time left when the request was sent.
	TimeoutMicroseconds int64
	Payload             []byte
}

// Answer is a backend server's answer to a Request.
type Answer struct {
	// ID is the ID of the request.
	ID string
	// BootID identifies the server's process; it changes when the server restarts.
	BootID   string
	Snapshot string
	// NotRun is set if the server refused the request before running it, for the reason in Refusal.
	NotRun  bool
	Refusal Refusal
	Shards  []pollenmessage.ShardAnswer
	// Checksum is the result of pollenmessage.Checksum for Shards.
	Checksum uint64
}

// Refusal states why a backend server did not run a request.
type Refusal string

// The refusals of a backend server.
const (
	// RefusalShed is a refusal because of overload.
	RefusalShed Refusal = "Shed"
	// RefusalSnapshot is a refusal because the server does not hold the snapshot.
	RefusalSnapshot Refusal = "Snapshot"
	// RefusalDeadline is a refusal because the time left does not suffice.
	RefusalDeadline Refusal = "Deadline"
	// RefusalDraining is a refusal because the server is about to stop.
	RefusalDraining Refusal = "Draining"
)

// NotSentError reports a request that was not sent and so cannot have run.
type NotSentError struct {
	Err error
}

func (e *NotSentError) Error() string { return fmt.Sprintf("nothing was sent: %v", e.Err) }

func (e *NotSentError) Unwrap() error { return e.Err }

// LostError reports a request that got a connection but no complete answer; it may have run.
type LostError struct {
	Err error
}

func (e *LostError) Error() string { return fmt.Sprintf("no answer: %v", e.Err) }

func (e *LostError) Unwrap() error { return e.Err }

// GarbledError reports an invalid or incomplete answer; the request may have run.
type GarbledError struct {
	Problem string
	Err     error
}

func (e *GarbledError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("garbled answer: %s: %v", e.Problem, e.Err)
	}
	return fmt.Sprintf("garbled answer: %s", e.Problem)
}

func (e *GarbledError) Unwrap() error { return e.Err }
