package pollensoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// crowdClients is more than an instance takes connections of callers.
	crowdClients = 900
	// crowdInterval is the time between two writes of a client that sends without end.
	crowdInterval = 20 * time.Millisecond
)

// injectCrowd lets clients that keep to no limits take all connections of an instance's callers. It is no disturbance: ordinary callers must
// be served.
func injectCrowd(ctx context.Context, c *cluster, random *rand.Rand, duration time.Duration) error {
	e := c.randomInstance(random)
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var clients sync.WaitGroup
	for n := range crowdClients {
		clients.Go(func() {
			for ctx.Err() == nil {
				misbehave(ctx, e, n)
				time.Sleep(crowdInterval)
			}
		})
	}
	clients.Wait()
	return nil
}

// misbehave connects to an instance, and is silent, sends fields without end, or sends a request and is idle, until the connection ends. An
// instance that does not listen is no error, as others may be restarted meanwhile.
func misbehave(ctx context.Context, e *entryInstance, n int) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", e.callerAddress.String())
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	switch n % 3 {
	case 0:
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: crowd\r\n")
		for i := 0; err == nil && ctx.Err() == nil; i++ {
			time.Sleep(crowdInterval)
			_, err = fmt.Fprintf(conn, "%x:\r\n", i)
		}
	case 1:
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: crowd\r\n\r\n")
	}
	// It ends with the connection.
	_, _ = io.Copy(io.Discard, conn)
}
