package pollenbackend

import (
	"fmt"

	"pollenline.example/pollen/pollenmessage"
)

// PathAnswer takes a Request and returns an Answer.
const PathAnswer = "/v1/answer"

// Request is what a backend server is asked.
type Request struct {
	ID       string
	Service  string
	Snapshot string
	Shards   []string
	// Action is the caller's id of a request that must not run twice, and empty for others.
	Action string
	// TimeoutMicroseconds is the time left when the request was sent.
	TimeoutMicroseconds int64
	Payload             []byte
}

// Answer is what a backend server answers.
type Answer struct {
	ID       string
	BootID   string
	Snapshot string
	// NotRun is set when the server refused before it began; Refusal then says why.
	NotRun   bool
	Refusal  Refusal
	Shards   []pollenmessage.ShardAnswer
	Checksum uint64
}

// Refusal is why a backend server did not run a request.
type Refusal string

// The refusals of a backend server.
const (
	RefusalShed     Refusal = "Shed"
	RefusalSnapshot Refusal = "Snapshot"
	RefusalDeadline Refusal = "Deadline"
	RefusalDraining Refusal = "Draining"
)

// NotSentError reports that nothing was sent, so that the request cannot have run.
type NotSentError struct {
	Err error
}

func (e *NotSentError) Error() string { return fmt.Sprintf("nothing was sent: %v", e.Err) }

func (e *NotSentError) Unwrap() error { return e.Err }

// LostError reports a request whose answer did not come; it may have run.
type LostError struct {
	Err error
}

func (e *LostError) Error() string { return fmt.Sprintf("no answer: %v", e.Err) }

func (e *LostError) Unwrap() error { return e.Err }

// GarbledError reports an answer that is not the whole answer to its request; it may have run.
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
