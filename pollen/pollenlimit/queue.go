package pollenlimit

import "slices"

// waiter is queued work; ready gets nil for a grant.
type waiter struct {
	work  Work
	ready chan *Refusal
}

// queue is in order of class and then of deadline.
type queue []*waiter

// add queues a waiter and returns the one that no longer fits, which may be the new one.
func (q *queue) add(w *waiter, maximum int) (evicted *waiter) {
	position, _ := slices.BinarySearchFunc(*q, w, compareWaiters)
	*q = slices.Insert(*q, position, w)
	if len(*q) <= maximum {
		return nil
	}
	last := len(*q) - 1
	evicted = (*q)[last]
	*q = (*q)[:last]
	return evicted
}

func (q *queue) pop() {
	*q = slices.Delete(*q, 0, 1)
}

// remove takes a waiter out and reports whether it was still queued.
func (q *queue) remove(w *waiter) bool {
	position := slices.Index(*q, w)
	if position < 0 {
		return false
	}
	*q = slices.Delete(*q, position, position+1)
	return true
}

// ahead counts the queued work that goes before the given one.
func (q *queue) ahead(work Work) int {
	position, _ := slices.BinarySearchFunc(*q, &waiter{work: work}, compareWaiters)
	return position
}

func compareWaiters(a, b *waiter) int {
	if a.work.Class != b.work.Class {
		return int(a.work.Class) - int(b.work.Class)
	}
	return a.work.Deadline.Compare(b.work.Deadline)
}
