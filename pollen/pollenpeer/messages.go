package pollenpeer

import (
	"time"

	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenstore"
)

// PingRequest tells another instance that this one lives.
type PingRequest struct {
	// From may be unknown to the receiver, as when it started while the store was down.
	From pollenroute.Instance
}

// PingReply tells what an instance has in force.
type PingReply struct {
	Name          string
	Incarnation   string
	State         string
	StoreRevision uint64
	Revision      uint64
	Groups        int
	// Leaving is set once the instance is to be given no more callers and groups.
	Leaving bool
}

// WatchRequest waits for changes of the replica.
type WatchRequest struct {
	After uint64
	Wait  time.Duration
}

// WatchReply holds changes, or a whole listing when the changes are no longer kept.
type WatchReply struct {
	Changes pollenstore.Changes
	Listing pollenstore.Listing
	Whole   bool
	// Age is for how long the copy is not known to be complete.
	Age time.Duration
}

// InForceRequest waits until a revision of the configuration is in force.
type InForceRequest struct {
	Revision uint64
	Wait     time.Duration
}

// InForceReply names the revision in force.
type InForceReply struct {
	Revision uint64
}

// ForwardRequest passes a caller's request on to the incarnation that its id names.
type ForwardRequest struct {
	ID string
	// Request and Reply are protobuf messages.
	Request []byte
	Timeout time.Duration
}

// ForwardReply is the response to a forwarded request.
type ForwardReply struct {
	ID       string
	Response []byte
}

// CancelRequest ends a running call.
type CancelRequest struct {
	ID string
}

// Empty is the reply to a call that has none.
type Empty struct{}

// ExecuteRequest runs a sub-query.
type ExecuteRequest struct {
	SubQuery pollenmessage.SubQuery
}

// ExecuteReply is the outcome of a sub-query.
type ExecuteReply struct {
	Answer pollenmessage.SubAnswer
}
