package pollenlog

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockingOutput blocks writes until unblocked is closed.
type blockingOutput struct {
	unblocked chan struct{}
	bytes.Buffer
}

func (o *blockingOutput) Write(data []byte) (int, error) {
	<-o.unblocked
	return o.Buffer.Write(data)
}

// A writer that waits for a stuck output blocks every request that logs.
func TestWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &blockingOutput{unblocked: make(chan struct{})}
		w := NewWriter(out, WriterConfig{QueueLines: 10, LinesPerSecond: 1000})
		for i := range 100 {
			n, err := fmt.Fprintf(w, "line %d\n", i)
			c.Assert(err, qt.IsNil)
			c.Assert(n > 0, qt.IsTrue)
		}
		synctest.Wait()
		close(out.unblocked)
		w.Close()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		written := 0
		for _, line := range lines {
			if strings.HasPrefix(line, "line ") {
				written++
			}
		}
		c.Assert(written >= 10 && written <= 12, qt.IsTrue, qt.Commentf("%d lines", written))
		c.Assert(out.String(), qt.Contains, fmt.Sprintf(`"Lines":%d}`, 100-written))
	})
}

// A log without a rate limit floods the output during an outage.
func TestWriterLimitsLinesPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		w := NewWriter(&out, WriterConfig{QueueLines: 1000, LinesPerSecond: 5})
		for range 3 {
			for range 20 {
				fmt.Fprint(w, "x\n")
			}
			time.Sleep(time.Second)
		}
		w.Close()
		c.Assert(strings.Count(out.String(), "x\n"), qt.Equals, 15)
		c.Assert(out.String(), qt.Contains, "Log lines dropped")
	})
}

// Goroutines that still run after Close must neither block nor panic when they log.
func TestWriterNeverBlocksAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		w := NewWriter(&out, WriterConfig{QueueLines: 2, LinesPerSecond: 1000})
		fmt.Fprint(w, "before\n")
		w.Close()
		for range 10 {
			_, err := fmt.Fprint(w, "after\n")
			c.Assert(err, qt.IsNil)
		}
		c.Assert(out.String(), qt.Equals, "before\n")
		c.Assert(w.Dropped(), qt.Equals, int64(8))
	})
}

// Guards against lines on what an instance does at the end of its stop that are dropped because its last requests were logged in the same second.
func TestFrequentLinesLeaveRoomForOthers(t *testing.T) {
	tests := []struct {
		name   string
		config WriterConfig
	}{
		{"rate limit", WriterConfig{QueueLines: 1000, LinesPerSecond: 100}},
		{"queue", WriterConfig{QueueLines: 100, LinesPerSecond: 1000}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				out := &blockingOutput{unblocked: make(chan struct{})}
				test.config.Frequent = `"Msg":"Request"`
				w := NewWriter(out, test.config)
				for range 500 {
					fmt.Fprintln(w, `{"Msg":"Request"}`)
				}
				for range 5 {
					fmt.Fprintln(w, `{"Msg":"Stopped"}`)
				}
				close(out.unblocked)
				w.Close()
				c.Assert(strings.Count(out.String(), "Stopped"), qt.Equals, 5)
				requests := strings.Count(out.String(), "Request")
				c.Assert(requests >= 85 && requests <= 95, qt.IsTrue, qt.Commentf("%d lines", requests))
			})
		})
	}
}
