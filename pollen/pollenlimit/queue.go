package pollenlimit

import "slices"

// waiter is queued work.
type waiter struct {
	work Work
	// result receives nil when the work is granted a permit, else the refusal.
	result chan *Refusal
}

// queue holds the waiters ordered by class and then by deadline.
type queue []*waiter

// add inserts a waiter and returns the last one if the queue exceeds the maximum; that may be the new one.
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

// pop removes the first waiter.
func (q *queue) pop() {
	*q = slices.Delete(*q, 0, 1)
}

// remove removes a waiter and reports whether it was still queued.
func (q *queue) remove(w *waiter) bool {
	position := slices.Index(*q, w)
	if position < 0 {
		return false
	}
	*q = slices.Delete(*q, position, position+1)
	return true
}

// countAhead returns the number of waiters that precede the given work.
func (q *queue) countAhead(work Work) int {
	position, _ := slices.BinarySearchFunc(*q, &waiter{work: work}, compareWaiters)
	return position
}

// compareWaiters orders waiters by class, urgent ones first, and then by deadline.
func compareWaiters(a, b *waiter) int {
	if a.work.Class != b.work.Class {
		return int(a.work.Class) - int(b.work.Class)
	}
	return a.work.Deadline.Compare(b.work.Deadline)
}
