package pollencrowd

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// client is one client that keeps to no limits. It sends to a connection until an error, and must leave it open.
type client func(conn net.Conn) error

// crowd holds many clients of one kind at one listener.
type crowd struct {
	release chan struct{}
	running sync.WaitGroup
	// settled counts the clients that hold a connection on which they send no more, or have none left to open.
	settled sync.WaitGroup
}

// crowdConnections is how many connections a client opens at most, one after the other, if the process closes them.
const crowdConnections = 8

// gather starts clients, each at its own connection, and waits until each has sent all or has had all its connections closed. The
// connections that are open then stay open until disperse is called.
func gather(address netip.AddrPort, clients int, behave client) *crowd {
	w := &crowd{release: make(chan struct{})}
	for range clients {
		w.settled.Add(1)
		w.running.Go(func() { w.run(address, behave) })
	}
	w.settled.Wait()
	return w
}

func (w *crowd) run(address netip.AddrPort, behave client) {
	var conn net.Conn
	for range crowdConnections {
		var err error
		if conn, err = net.DialTimeout("tcp", address.String(), stallTimeout); err != nil {
			continue
		}
		// A client that waits for the process without end counts as one that has sent all it can.
		err = behave(&stallingConn{conn})
		if err == nil || isTimeout(err) {
			break
		}
		// The connection is closed already if the process has ended it.
		_ = conn.Close()
		conn = nil
	}
	w.settled.Done()
	<-w.release
	if conn != nil {
		_ = conn.Close()
	}
}

// disperse closes all connections of the crowd.
func (w *crowd) disperse() {
	close(w.release)
	w.running.Wait()
}

// stallTimeout is how long a client waits until it may write more, or until it is connected.
const stallTimeout = 3 * time.Second

// stallingConn gives up writing when the process does not read.
type stallingConn struct{ net.Conn }

func (s *stallingConn) Write(p []byte) (int, error) {
	if err := s.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
		return 0, err
	}
	return s.Conn.Write(p)
}

func isTimeout(err error) bool {
	timeout, ok := err.(interface{ Timeout() bool })
	return ok && timeout.Timeout()
}

// sentBytes is the most that one client sends on a connection.
const sentBytes = 4 << 20

// blockBytes is the size of one write.
const blockBytes = 16 << 10

// requestStart is the begin of a request that the only route matches.
const requestStart = "POST " + routePrefix + "x HTTP/1.1\r\nHost: " + routeHost + "\r\nRequest-Id: crowd\r\n"

// repeat sends a prefix, and then what next returns, until limit bytes are sent.
func repeat(conn io.Writer, prefix string, limit int, next func(n int) string) error {
	if _, err := io.WriteString(conn, prefix); err != nil {
		return err
	}
	var block bytes.Buffer
	for sent, n := 0, 0; sent < limit; sent += block.Len() {
		block.Reset()
		for ; block.Len() < blockBytes; n++ {
			block.WriteString(next(n))
		}
		if _, err := conn.Write(block.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

func constant(text string) func(int) string {
	text = strings.Repeat(text, max(1, 1024/len(text)))
	return func(int) string { return text }
}

// shortField returns the n-th of many fields with different names, each of a few bytes.
func shortField(n int) string { return fmt.Sprintf("%x:\r\n", n) }

// shortFields returns fields of a size in all.
func shortFields(size int) string {
	var fields strings.Builder
	for n := 0; fields.Len() < size; n++ {
		fields.WriteString(shortField(n))
	}
	return fields.String()
}

func endlessShortFields(conn net.Conn) error {
	return repeat(conn, requestStart, sentBytes, shortField)
}

// endlessFieldsOfHTTP2 sends fields after a line that begins connections with HTTP/2.
func endlessFieldsOfHTTP2(conn net.Conn) error {
	return repeat(conn, "PRI * HTTP/2.0\r\n", sentBytes, shortField)
}

func endlessEqualFields(conn net.Conn) error {
	return repeat(conn, requestStart, sentBytes, constant("a:\r\n"))
}

func openHead(conn net.Conn) error {
	return repeat(conn, requestStart, 1000<<10, constant("X-Field: "+strings.Repeat("x", 90)+"\r\n"))
}

func completeHeads(conn net.Conn) error {
	head := requestStart + "Content-Length: 0\r\n" + strings.Repeat("X-Field: "+strings.Repeat("x", 89)+"\r\n", 9000) + "\r\n"
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	return repeat(conn, "", sentBytes, func(int) string { return head })
}

func endlessField(conn net.Conn) error {
	return repeat(conn, requestStart+"X-Field: ", sentBytes, constant("x"))
}

func endlessContinuedField(conn net.Conn) error {
	return repeat(conn, requestStart+"X-Field: x\r\n", sentBytes, constant(" \r\n"))
}

func endlessRequestLine(conn net.Conn) error {
	return repeat(conn, "GET "+routePrefix, sentBytes, constant("x"))
}

func emptyLines(conn net.Conn) error { return repeat(conn, "", sentBytes, constant("\r\n")) }

func emptyLinesAfterRequest(conn net.Conn) error {
	return repeat(conn, requestStart+"Content-Length: 0\r\n\r\n", sentBytes, constant("\r\n"))
}

// headsOfOpenRequests sends a head within the limits, of very short fields, and no body.
func headsOfOpenRequests(conn net.Conn) error {
	_, err := io.WriteString(conn, requestStart+"Content-Length: 1000\r\n"+shortFields(16000)+"\r\n")
	return err
}

func endlessChunks(conn net.Conn) error {
	return repeat(conn, requestStart+"Transfer-Encoding: chunked\r\n\r\n", sentBytes, constant("100\r\n"+strings.Repeat("x", 256)+"\r\n"))
}

// openBodies sends nearly all of a body within the limits, and not its end.
func openBodies(conn net.Conn) error {
	return repeat(conn, requestStart+"Content-Length: 1048576\r\n\r\n", 1<<20-2*blockBytes, constant("x"))
}

func endlessTrailers(conn net.Conn) error {
	return repeat(conn, requestStart+"Transfer-Encoding: chunked\r\n\r\n0\r\n", sentBytes, shortField)
}

// unreadAnswers sends requests one after the other and reads no answer.
func unreadAnswers(conn net.Conn) error {
	return repeat(conn, "", sentBytes, constant("GET "+routePrefix+"x HTTP/1.1\r\nHost: "+routeHost+"\r\nRequest-Id: crowd\r\n\r\n"))
}

// longIDs sends complete requests with long identifiers, which are logged, and reads the answers.
func longIDs(conn net.Conn) error {
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	request := "GET " + routePrefix + "x HTTP/1.1\r\nHost: " + routeHost + "\r\nRequest-Id: " + strings.Repeat("\"", 15000) + "\r\n\r\n"
	return repeat(conn, "", sentBytes, func(int) string { return request })
}

func silence(net.Conn) error { return nil }

// oneRequest sends an ordinary request, reads the answer and is silent.
func oneRequest(conn net.Conn) error {
	if _, err := io.WriteString(conn, "GET "+routePrefix+"x HTTP/1.1\r\nHost: "+routeHost+"\r\nRequest-Id: crowd\r\n\r\n"); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(stallTimeout)); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1024))
	return err
}

// endlessMessage sends one message of net/rpc that states a length of 512 MB.
func endlessMessage(conn net.Conn) error {
	const length = 512 << 20
	// gob states lengths above 127 as the negated number of bytes that follow.
	prefix := append([]byte{0xfc}, binary.BigEndian.AppendUint32(nil, length)...)
	return repeat(conn, string(prefix), sentBytes, constant("x"))
}

// http2Preface begins a connection with HTTP/2, and is followed by an empty frame of settings.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"

// http2Frame returns a frame of HTTP/2.
func http2Frame(kind, flags byte, stream uint32, payload string) string {
	header := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags}
	return string(binary.BigEndian.AppendUint32(header, stream)) + payload
}

// literalField returns a field that is not indexed, as HPACK encodes it.
func literalField(name, value string) string {
	return "\x00" + string(rune(len(name))) + name + string(rune(len(value))) + value
}

// http2ShortFields returns as many short fields as a frame holds.
func http2ShortFields() string {
	var fields strings.Builder
	for n := 0; fields.Len() < 15<<10; n++ {
		fields.WriteString(literalField(fmt.Sprintf("%x", n), ""))
	}
	return fields.String()
}

// http2Request is the begin of the fields of a request with a body.
var http2Request = literalField(":method", "POST") + literalField(":scheme", "http") + literalField(":path", "/x") + literalField(":authority", "h")

// The kinds and flags of frames.
const (
	frameHeaders      = 1
	frameContinuation = 9
	flagEndHeaders    = 4
)

// http2EndlessHead sends a head in frames without end.
func http2EndlessHead(conn net.Conn) error {
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	fields := http2Frame(frameContinuation, 0, 1, http2ShortFields())
	return repeat(conn, http2Preface+http2Frame(frameHeaders, 0, 1, http2Request), sentBytes, func(int) string { return fields })
}

// http2OpenRequests opens requests that never send their bodies, each with many short fields.
func http2OpenRequests(conn net.Conn) error {
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	fields := http2Request + http2ShortFields()
	return repeat(conn, http2Preface, sentBytes, func(n int) string {
		return http2Frame(frameHeaders, flagEndHeaders, uint32(2*n+1), fields)
	})
}
