package pollencrowd

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The limits of the processes in these tests, and the size of the crowds.
const (
	// frontMemoryMegabytes is the memory of an instance on the users' platform, in MiB.
	frontMemoryMegabytes = 96
	// serveMemoryMegabytes is the memory of the smallest machine that the product's own interface is run on, in MiB.
	serveMemoryMegabytes = 284
	maxDescriptors       = 300
	// crowdClients is the number of clients that send much, manyClients that of clients that take more descriptors than there are.
	crowdClients = 120
	manyClients  = 400
)

// ordinaryTries is how often a caller tries.
const ordinaryTries = 3

// checkServed checks that an ordinary request is answered, as its caller tries again.
func checkServed(c *qt.C, what string, request func() error) {
	var failures []error
	for range ordinaryTries {
		err := request()
		if err == nil {
			return
		}
		failures = append(failures, err)
	}
	c.Errorf("ordinary request %s: %v", what, errors.Join(failures...))
}

// crowdTest is a crowd of one kind at one listener of a process.
type crowdTest struct {
	name    string
	port    uint16
	clients int
	behave  client
}

// run checks that a process answers an ordinary request while the crowd holds its connections and after it has left, lives, and has stayed
// within its limits.
func (t *crowdTest) run(c *qt.C, p *process, memoryMegabytes int64, request func() error) {
	w := gather(p.listener(t.port), t.clients, t.behave)
	checkServed(c, "beside the crowd", request)
	w.disperse()
	checkServed(c, "after the crowd", request)
	p.checkLimits(c, memoryMegabytes<<20, maxDescriptors)
}

// Load pattern: clients send heads, lines, fields or bodies without end, or hold what they have opened. The process must live, stay within
// its memory and descriptors, and answer an ordinary caller while the crowd holds its connections and after it has left.
func TestFrontSurvivesCrowd(t *testing.T) {
	tests := []crowdTest{
		{"short fields without end", callerPort, crowdClients, endlessShortFields},
		{"equal fields without end", callerPort, crowdClients, endlessEqualFields},
		{"fields without end that begin like HTTP 2", callerPort, crowdClients, endlessFieldsOfHTTP2},
		{"open head", callerPort, crowdClients, openHead},
		{"complete heads over the limit", callerPort, crowdClients, completeHeads},
		{"field without end", callerPort, crowdClients, endlessField},
		{"continued field without end", callerPort, crowdClients, endlessContinuedField},
		{"request line without end", callerPort, crowdClients, endlessRequestLine},
		{"empty lines", callerPort, crowdClients, emptyLines},
		{"empty lines after a request", callerPort, crowdClients, emptyLinesAfterRequest},
		{"heads of open requests", callerPort, crowdClients, headsOfOpenRequests},
		{"chunks without end", callerPort, crowdClients, endlessChunks},
		{"open bodies", callerPort, crowdClients, openBodies},
		{"trailers without end", callerPort, crowdClients, endlessTrailers},
		{"unread answers", callerPort, crowdClients, unreadAnswers},
		{"long identifiers", callerPort, crowdClients, longIDs},
		{"silent connections", callerPort, manyClients, silence},
		{"idle connections", callerPort, manyClients, oneRequest},
		{"many open bodies", callerPort, manyClients, headsOfOpenRequests},
		{"directory, short fields without end", directoryPort, crowdClients, endlessShortFields},
		{"directory, silent connections", directoryPort, manyClients, silence},
		{"readiness, short fields without end", readinessPort, crowdClients, endlessShortFields},
		{"readiness, silent connections", readinessPort, manyClients, silence},
		{"metrics, short fields without end", metricsPort, crowdClients, endlessShortFields},
		{"metrics, open bodies", metricsPort, crowdClients, openBodies},
		{"metrics, silent connections", metricsPort, manyClients, silence},
		{"peers, message without end", peerPort, crowdClients, endlessMessage},
		{"peers, silent connections", peerPort, manyClients, silence},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := startFront(t, c, frontMemoryMegabytes, maxDescriptors)
			test.run(c, p, frontMemoryMegabytes, func() error { return requestOnce(t, p) })
			p.stop(c)
		})
	}
}

// Load pattern: as above, at the listeners of the product's own interface.
func TestServeSurvivesCrowd(t *testing.T) {
	tests := []crowdTest{
		{"short fields without end", callerPort, crowdClients, endlessShortFields},
		{"fields without end that begin like HTTP 2", callerPort, crowdClients, endlessFieldsOfHTTP2},
		{"open head", callerPort, crowdClients, openHead},
		{"empty lines", callerPort, crowdClients, emptyLines},
		{"open bodies", callerPort, crowdClients, openBodies},
		{"silent connections", callerPort, manyClients, silence},
		{"head without end, HTTP 2", callerPort, crowdClients, http2EndlessHead},
		{"open requests, HTTP 2", callerPort, crowdClients, http2OpenRequests},
		{"operators, short fields without end", operatorPort, crowdClients, endlessShortFields},
		{"operators, silent connections", operatorPort, manyClients, silence},
		{"peers, message without end", peerPort, crowdClients, endlessMessage},
		{"peers, silent connections", peerPort, manyClients, silence},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := startServe(t, c, maxDescriptors)
			test.run(c, p, serveMemoryMegabytes, func() error { return locate(p) })
		})
	}
}

// Guards against a process that does not end by itself while clients hold heads, bodies and unread answers.
func TestFrontStopsBesideCrowd(t *testing.T) {
	c := qt.New(t)
	p := startFront(t, c, frontMemoryMegabytes, maxDescriptors)
	var crowds []*crowd
	for _, behave := range []client{openHead, headsOfOpenRequests, openBodies, unreadAnswers, silence} {
		crowds = append(crowds, gather(p.listener(callerPort), crowdClients/5, behave))
	}
	p.checkLimits(c, frontMemoryMegabytes<<20, maxDescriptors)
	p.stop(c)
	for _, w := range crowds {
		w.disperse()
	}
}

// Guards against a refusal that its caller does not get: the process closes the connection while the caller still sends, and the reset
// overtakes the answer.
func TestRefusalReachesSendingClient(t *testing.T) {
	c := qt.New(t)
	p := startFront(t, c, frontMemoryMegabytes, maxDescriptors)
	tests := []struct {
		name       string
		head, rest string
		want       int
	}{
		{"head over the limit", requestStart + strings.Repeat("X-Field: "+strings.Repeat("x", 90)+"\r\n", 1000), strings.Repeat("X-Field: x\r\n", 20000), http.StatusRequestHeaderFieldsTooLarge},
		{"complete head over the limit", requestStart + strings.Repeat("X-Field: "+strings.Repeat("x", 90)+"\r\n", 300) + "\r\n", "", http.StatusRequestHeaderFieldsTooLarge},
		{"body over the limit", requestStart + "Content-Length: 3000000\r\n\r\n", strings.Repeat("x", 3000000), http.StatusRequestEntityTooLarge},
		{"no such route", "POST /other HTTP/1.1\r\nHost: " + routeHost + "\r\nContent-Length: 900000\r\n\r\n", strings.Repeat("x", 900000), http.StatusNotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			conn, err := net.Dial("tcp", p.listener(callerPort).String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			// The caller sends a few kilobytes at a time, and reads only when it has sent all or can't send more.
			text := test.head + test.rest
			for err == nil && text != "" {
				n := min(len(text), blockBytes)
				_, err = io.WriteString(conn, text[:n])
				text = text[n:]
				time.Sleep(5 * time.Millisecond)
			}
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			_ = answer.Body.Close()
			c.Assert(answer.StatusCode, qt.Equals, test.want)
		})
	}
	p.checkLimits(c, frontMemoryMegabytes<<20, maxDescriptors)
}

// Guards against limits that requests within the users' limits meet on a calm instance.
func TestFrontServesRequestsWithinLimits(t *testing.T) {
	c := qt.New(t)
	p := startFront(t, c, frontMemoryMegabytes, maxDescriptors)
	const maxHeaderBytes, maxBodyBytes = 16384, 1 << 20
	start := "Host: " + routeHost + "\r\nRequest-Id: whole\r\nConnection: close\r\n"
	tests := []struct{ name, fields, body string }{
		{"one long field", "X-Field: " + strings.Repeat("x", maxHeaderBytes-len(start)-200) + "\r\n", ""},
		{"short fields", shortFields(maxHeaderBytes - len(start) - 200), ""},
		{"large body", "", strings.Repeat("x", maxBodyBytes)},
		{"short fields and large body", shortFields(maxHeaderBytes - len(start) - 200), strings.Repeat("x", maxBodyBytes)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			conn, err := net.Dial("tcp", p.listener(callerPort).String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST "+routePrefix+"x HTTP/1.1\r\n"+start+"Content-Length: "+strconv.Itoa(len(test.body))+"\r\n"+test.fields+"\r\n"+test.body)
			c.Assert(err, qt.IsNil)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			defer answer.Body.Close()
			body, err := io.ReadAll(answer.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(answer.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%.300s", body))
		})
	}
	p.checkLimits(c, frontMemoryMegabytes<<20, maxDescriptors)
}
