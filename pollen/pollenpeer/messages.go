package pollenpeer

import (
	"time"

	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenstore"
)

// PingRequest identifies the instance that sends the ping.
type PingRequest struct {
	// From may be unknown to the receiver, for example if the sender started while the store was down.
	From pollenroute.Instance
}

// PingReply holds the status of an instance.
type PingReply struct {
	Name        string
	Incarnation string
	// State is the state of the instance's state chart.
	State string
	// StoreRevision is the store revision of the instance's replica.
	StoreRevision uint64
	// Revision is the configuration revision in force.
	Revision uint64
	// Groups is the number of groups that the instance owns.
	Groups int
	// Leaving is set once the instance must not be given any more callers or groups.
	Leaving bool
}

// WatchRequest asks for the changes of the replica after a store revision, waiting for one at most Wait.
type WatchRequest struct {
	After uint64
	Wait  time.Duration
}

// WatchReply holds changes, or a complete listing if the history no longer holds the changes.
type WatchReply struct {
	Changes pollenstore.Changes
	Listing pollenstore.Listing
	// Whole is set if Listing is valid instead of Changes.
	Whole bool
	// Age is the time since the replica was last known to be complete.
	Age time.Duration
}

// InForceRequest asks for the configuration revision in force, once it is at least Revision or Wait has passed.
type InForceRequest struct {
	Revision uint64
	Wait     time.Duration
}

// InForceReply holds the configuration revision in force.
type InForceReply struct {
	Revision uint64
}

// ForwardRequest forwards a caller's request to the incarnation that the request's ID names.
type ForwardRequest struct {
	ID string
	// Request is an encoded pollenschema.QueryRequest.
	Request []byte
	Timeout time.Duration
}

// ForwardReply holds the response to a forwarded request.
type ForwardReply struct {
	ID string
	// Response is an encoded pollenschema.QueryResponse.
	Response []byte
}

// CancelRequest cancels the running call with the same ID.
type CancelRequest struct {
	ID string
}

// Empty is the reply to calls without a result.
type Empty struct{}

// ExecuteRequest holds the sub-query to run.
type ExecuteRequest struct {
	SubQuery pollenmessage.SubQuery
}

// ExecuteReply holds the answer to a sub-query.
type ExecuteReply struct {
	Answer pollenmessage.SubAnswer
}
