package pollenbackend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenbackend"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenroute"
)

// request returns a request for the shards a and b.
func request() *pollenbackend.Request {
	return &pollenbackend.Request{ID: "1", Service: "s", Snapshot: "v1", Shards: []string{"a", "b"}, TimeoutMicroseconds: 1000}
}

// answer returns the JSON of a valid answer to the result of request, modified by change.
func answer(change func(*pollenbackend.Answer)) string {
	a := &pollenbackend.Answer{ID: "1", BootID: "x", Snapshot: "v1", Shards: []pollenmessage.ShardAnswer{
		{Shard: "a", State: pollenmessage.ShardAnswered, Rows: [][]byte{[]byte("1")}},
		{Shard: "b", State: pollenmessage.ShardLost},
	}}
	a.Checksum = pollenmessage.Checksum(a.Shards)
	change(a)
	data, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// TestSendVerifiesAnswer guards against accepting an answer that is damaged, incomplete or for another request.
func TestSendVerifiesAnswer(t *testing.T) {
	setChecksum := func(a *pollenbackend.Answer) { a.Checksum = pollenmessage.Checksum(a.Shards) }
	tests := []struct {
		name    string
		status  int
		body    string
		problem string
	}{
		{"whole", 200, answer(func(*pollenbackend.Answer) {}), ""},
		{"refusal", 503, answer(func(a *pollenbackend.Answer) { a.NotRun, a.Refusal = true, pollenbackend.RefusalShed }), ""},
		{"error without refusal", 500, answer(func(*pollenbackend.Answer) {}), "HTTP status 500"},
		{"not JSON", 200, "<html>", "not JSON"},
		{"empty object", 200, "{}", "fields ID and BootID are required"},
		{"crossed", 200, answer(func(a *pollenbackend.Answer) { a.ID = "2" }), "crossed"},
		{"other snapshot", 200, answer(func(a *pollenbackend.Answer) { a.Snapshot = "v2" }), `snapshot "v2" instead of "v1"`},
		{"checksum", 200, answer(func(a *pollenbackend.Answer) { a.Checksum++ }), "checksum differs"},
		{"shard missing", 200, answer(func(a *pollenbackend.Answer) { a.Shards = a.Shards[:1]; setChecksum(a) }), "1 shards are not mentioned"},
		{"shard twice", 200, answer(func(a *pollenbackend.Answer) { a.Shards[1] = a.Shards[0]; setChecksum(a) }), "stands twice"},
		{"shard not asked for", 200, answer(func(a *pollenbackend.Answer) { a.Shards[1].Shard = "c"; setChecksum(a) }), "was not asked for"},
		{"oversized", 200, strings.Repeat(" ", pollenbackend.MaxAnswerBytes+1), "maximum size"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}))
			defer server.Close()
			_, err := client(server.Listener.Addr().String()).Send(context.Background(), request())
			if test.problem == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			var garbled *pollenbackend.GarbledError
			c.Assert(err, qt.ErrorAs, &garbled)
			c.Assert(err.Error(), qt.Contains, test.problem)
		})
	}
}

// TestSendTakesNoOddStatus guards against taking an answer whose status no final answer has, above all as a promise that the request has
// not run.
func TestSendTakesNoOddStatus(t *testing.T) {
	refusal := answer(func(a *pollenbackend.Answer) { a.NotRun, a.Refusal = true, pollenbackend.RefusalShed })
	for _, status := range []string{"000", "042", "199", "600"} {
		c := qt.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nContent-Length: %d\r\n\r\n%s", status, len(refusal), refusal)
			}
		}()
		_, err = client(listener.Addr().String()).Send(context.Background(), request())
		c.Check(err, qt.IsNotNil, qt.Commentf("status %s", status))
		c.Check(listener.Close(), qt.IsNil)
	}
}

// TestSendDoesNotRetry guards against net/http replaying a request when a reused connection breaks before the answer.
func TestSendDoesNotRetry(t *testing.T) {
	c := qt.New(t)
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		if requests > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(answer(func(*pollenbackend.Answer) {})))
	}))
	defer server.Close()
	sender := client(server.Listener.Addr().String())
	_, err := sender.Send(context.Background(), request())
	c.Assert(err, qt.IsNil)
	_, err = sender.Send(context.Background(), request())
	var lost *pollenbackend.LostError
	c.Assert(err, qt.ErrorAs, &lost)
	c.Assert(requests, qt.Equals, 2)
}

// TestSendWithoutConnection guards against reporting an unknown outcome when nothing was sent.
func TestSendWithoutConnection(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	_, err = client(address).Send(context.Background(), request())
	var notSent *pollenbackend.NotSentError
	c.Assert(err, qt.ErrorAs, &notSent)
}

// FuzzParseAnswer guards against Verify accepting an answer that does not cover the requested shards.
func FuzzParseAnswer(f *testing.F) {
	f.Add([]byte(answer(func(*pollenbackend.Answer) {})))
	f.Add([]byte(`{"ID":"1","BootID":"x","Shards":[{"Rows":[null]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := pollenbackend.ParseAnswer(data)
		if err != nil {
			return
		}
		r := request()
		if pollenbackend.Verify(r, a) == nil && !a.NotRun && len(a.Shards) != len(r.Shards) {
			t.Fatalf("Verify accepted an answer with %d shards to a request for %d", len(a.Shards), len(r.Shards))
		}
	})
}

// client returns a client of the server at an address.
func client(address string) *pollenbackend.Client {
	return pollenbackend.NewClient(&pollenroute.Server{Address: netip.MustParseAddrPort(address), Slots: 2, Connections: 25})
}
