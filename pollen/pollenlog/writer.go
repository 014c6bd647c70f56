package pollenlog

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// WriterConfig configures a Writer.
type WriterConfig struct {
	// QueueLines is the capacity of the queue in front of the output, in lines.
	QueueLines int
	// LinesPerSecond bounds the number of lines that are accepted in each second of the clock.
	LinesPerSecond int
	// Frequent is a text that is part of the lines which each request writes, empty if there is none. They get at most nine tenths of
	// the queue and the rate limit, so that other lines are written under load, too.
	Frequent string
}

// frequentShare is the share of the queue and the rate limit that frequent lines may take.
const frequentShare = 0.9

// Writer queues lines for an output without blocking its callers.
//
// Lines beyond the queue's capacity or the rate limit are dropped, and their number is written to the output.
type Writer struct {
	out             io.Writer
	config          WriterConfig
	queue           chan []byte
	done            chan struct{}
	dropped         atomic.Int64
	currentSecond   atomic.Int64
	linesThisSecond atomic.Int64
}

// NewWriter returns a Writer to out and starts its goroutine, which runs until Close.
func NewWriter(out io.Writer, config WriterConfig) *Writer {
	w := &Writer{out: out, config: config, queue: make(chan []byte, config.QueueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues or drops one line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if previous := w.currentSecond.Load(); previous != now && w.currentSecond.CompareAndSwap(previous, now) {
		w.linesThisSecond.Store(0)
	}
	share := 1.0
	if w.config.Frequent != "" && bytes.Contains(line, []byte(w.config.Frequent)) {
		share = frequentShare
	}
	if !w.acceptLine(int64(share*float64(w.config.LinesPerSecond))) || float64(len(w.queue)) >= share*float64(w.config.QueueLines) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	// The line is copied, since its caller may reuse the buffer.
	case w.queue <- append(make([]byte, 0, len(line)), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// acceptLine counts a line of this second, and reports false if there are as many as the limit already.
func (w *Writer) acceptLine(limit int64) bool {
	if w.linesThisSecond.Add(1) <= limit {
		return true
	}
	w.linesThisSecond.Add(-1)
	return false
}

// Close writes the queued lines and stops the Writer; later lines are never written.
func (w *Writer) Close() {
	// A nil line marks the end. The channel stays open, since other goroutines may still log.
	w.queue <- nil
	<-w.done
}

// Dropped returns the number of dropped lines that the output does not report yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for {
		line := <-w.queue
		if line == nil {
			return
		}
		// Errors are ignored, since there is no other output to report them to.
		_, _ = w.out.Write(line)
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"Level\":\"WARN\",\"Msg\":\"Log lines dropped\",\"Lines\":%d}\n", dropped)
		}
	}
}
