package pollengate

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
)

// Pauses reads the pauses that servers state in seconds. The zero value is ready to use.
type Pauses struct {
	mu sync.Mutex
	// unusable holds the servers whose unusable pauses were logged.
	unusable map[pollencatalog.Incarnation]bool
}

// Parse returns for how long a server wants no requests, at most maxPause. A text that is not a decimal number of seconds above zero
// counts as not stated, and is logged once for each server.
func (p *Pauses) Parse(text string, server *pollencatalog.Server) time.Duration {
	if text == "" {
		return 0
	}
	// ParseFloat also takes hexadecimal numbers, names of infinity and exponents.
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(n > 0) {
		if p.isFirstUnusable(server) {
			klog.InfoS("Server states an unusable pause", "server", server.ID, "service", server.Service, "pause", text)
		}
		return 0
	}
	return time.Duration(min(n, maxPause.Seconds()) * float64(time.Second))
}

// maxUnusable bounds the servers that are remembered for the log.
const maxUnusable = 1024

// isFirstUnusable reports whether a server has not stated an unusable pause before.
func (p *Pauses) isFirstUnusable(server *pollencatalog.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := server.Incarnation()
	if p.unusable[key] {
		return false
	}
	if len(p.unusable) >= maxUnusable || p.unusable == nil {
		p.unusable = make(map[pollencatalog.Incarnation]bool)
	}
	p.unusable[key] = true
	return true
}
