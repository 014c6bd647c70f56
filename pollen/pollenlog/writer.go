package pollenlog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// WriterConfig configures a Writer.
type WriterConfig struct {
	// Queue is the number of lines that wait for the output at most.
	Queue int
	// LinesPerSecond bounds the lines that are written over a second.
	LinesPerSecond int
}

// Writer passes lines on without blocking its callers: lines that do not fit are dropped, and their number is written.
type Writer struct {
	out     io.Writer
	config  WriterConfig
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	second  atomic.Int64
	written atomic.Int64
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer, config WriterConfig) *Writer {
	w := &Writer{out: out, config: config, lines: make(chan []byte, config.Queue), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if previous := w.second.Load(); previous != now && w.second.CompareAndSwap(previous, now) {
		w.written.Store(0)
	}
	if w.written.Add(1) > int64(w.config.LinesPerSecond) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append(make([]byte, 0, len(line)), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the lines that are queued; lines that come later are dropped.
func (w *Writer) Close() {
	// A nil line ends the queue. The channel stays open, since other goroutines may still log.
	w.lines <- nil
	<-w.done
}

// Dropped returns the number of lines that were dropped and not yet reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for {
		line := <-w.lines
		if line == nil {
			return
		}
		// The output is the only place to report a failure to.
		_, _ = w.out.Write(line)
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"Level\":\"WARN\",\"Msg\":\"Log lines dropped\",\"Lines\":%d}\n", dropped)
		}
	}
}
