package pollenconn

import "pollenline.example/pollen/pollenmemory"

// Resources is what the clients of a process may take shares of.
type Resources struct {
	MemoryBytes int64
}

// defaultMemoryMegabytes is taken for the memory of a process whose settings state none, in MiB.
const defaultMemoryMegabytes = 256

// NewResources returns the resources of this process; the memory is not stated if it is zero.
func NewResources(memoryMegabytes int) Resources {
	if memoryMegabytes == 0 {
		memoryMegabytes = defaultMemoryMegabytes
	}
	return Resources{MemoryBytes: int64(memoryMegabytes) << 20}
}

const (
	// headMemoryShare is the share of the memory that the heads of requests may take.
	headMemoryShare = 0.1
	// smallHeadBytes is the memory of a head that is accepted even if the budget of all heads is used up: some 50 fields.
	smallHeadBytes = 32 << 10
)

// HeadBudget returns the budget of the heads of all requests.
func (r Resources) HeadBudget() *pollenmemory.Budget {
	return pollenmemory.New(pollenmemory.Config{LimitBytes: r.MemoryShare(headMemoryShare), SmallBytes: smallHeadBytes})
}

// MemoryShare returns a share of the memory in bytes.
func (r Resources) MemoryShare(share float64) int64 { return int64(share * float64(r.MemoryBytes)) }
