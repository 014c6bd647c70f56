package pollenpool

import "sync"

// History holds the connections that have carried one request. The zero value is ready to use, and a nil History holds none.
//
// A server may send an answer twice, and the second copy stands where the next answer is expected. All attempts of a request have its
// ID, so that on one connection the copy can't be told from the answer to the next attempt.
type History struct {
	mu    sync.Mutex
	conns map[*Conn]bool
}

func (h *History) add(c *Conn) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conns == nil {
		h.conns = make(map[*Conn]bool)
	}
	h.conns[c] = true
}

func (h *History) holds(c *Conn) bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conns[c]
}
