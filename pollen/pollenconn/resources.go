package pollenconn

import (
	"cmp"
	"math"
	"syscall"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenmemory"
)

// Resources is what the clients of a process may take shares of.
type Resources struct {
	MemoryBytes int64
	Descriptors int
}

// The resources that are taken if the settings state none, memory in MiB.
const (
	defaultMemoryMegabytes = 256
	defaultMaxDescriptors  = 2048
)

// NewResources returns the resources of this process; values that are zero are not stated. The system's limit of descriptors holds if it
// is lower.
func NewResources(memoryMegabytes, maxDescriptors int) Resources {
	return Resources{
		MemoryBytes: int64(cmp.Or(memoryMegabytes, defaultMemoryMegabytes)) << 20,
		Descriptors: min(systemDescriptors(), cmp.Or(maxDescriptors, defaultMaxDescriptors)),
	}
}

// systemDescriptors returns how many descriptors the system lets the process open.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		klog.ErrorS(err, "The limit of open descriptors is not known")
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// The shares of a process's descriptors that the clients of a listener may take. The rest is for what the process connects to itself.
const (
	CallerShare    = 0.4
	PeerShare      = 0.2
	DirectoryShare = 0.05
	// OperatorShare is for the listeners of operators: readiness, metrics and calls.
	OperatorShare = 0.025
)

const (
	// connectionMemoryShare is the share of the memory that the connections at a listener may take, without the heads and bodies that are
	// counted one by one, and connectionBytes what one of them takes at most: stacks and buffers, the kernel's buffers, and a small head and
	// body.
	connectionMemoryShare = 0.5
	connectionBytes       = 24<<10 + 32<<10 + smallHeadBytes + pollenmemory.DefaultSmallBytes
	// headMemoryShare is the share of the memory that the heads of requests may take.
	headMemoryShare = 0.1
	// smallHeadBytes is the memory of a head that is accepted even if the budget of all heads is used up: some 50 fields.
	smallHeadBytes = 32 << 10
)

// MaxConnections returns how many connections may be open at a listener whose clients may take a share of the descriptors.
//
// Load pattern: clients open connections until the process has no descriptors or memory left. Each listener has its own number, so that
// one that is full leaves the others as they are.
func (r Resources) MaxConnections(share float64) int {
	return max(1, min(int(share*float64(r.Descriptors)), int(connectionMemoryShare*float64(r.MemoryBytes)/connectionBytes)))
}

// HeadBudget returns the budget of the heads of all requests.
func (r Resources) HeadBudget() *pollenmemory.Budget {
	return pollenmemory.New(pollenmemory.Config{LimitBytes: r.MemoryShare(headMemoryShare), SmallBytes: smallHeadBytes})
}

// MemoryShare returns a share of the memory in bytes.
func (r Resources) MemoryShare(share float64) int64 { return int64(share * float64(r.MemoryBytes)) }
