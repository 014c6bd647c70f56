package pollenrpc

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"

	"pollenline.example/pollen/pollenconn"
	"pollenline.example/pollen/pollenmemory"
)

// Config holds the limits of the connections that Serve serves.
type Config struct {
	// MaxMessageBytes bounds the size of one message.
	MaxMessageBytes int
	// MaxCalls bounds the calls of one connection that are handled at once; more are not read.
	MaxCalls int
	// DecodedFactor is the memory that a message may take when it is decoded, relative to its size: that of a slice of short texts is some
	// 20 times as large.
	DecodedFactor int
	// Messages bounds the memory that the messages of all calls take that are handled; if it is nil, only the size of each is bounded.
	Messages *pollenmemory.Budget
	// Connection is told what is done with the connection; it may be nil.
	Connection Connection
}

// Connection is the connection of a client that is counted.
type Connection interface {
	// SetServing states whether calls are handled on the connection.
	SetServing(serving bool)
	// CountClosed counts the connection as one that is closed for a reason.
	CountClosed(reason pollenconn.Reason)
}

const (
	// smallBytes is the memory of a decoded message that is accepted even if the budget is used up.
	smallBytes = 64 << 10
	// messageMemoryShare is the share of a process's memory that messages may take.
	messageMemoryShare = 0.1
)

// NewBudget returns the budget of the messages of all calls.
func NewBudget(resources pollenconn.Resources) *pollenmemory.Budget {
	return pollenmemory.New(pollenmemory.Config{LimitBytes: resources.MemoryShare(messageMemoryShare), SmallBytes: smallBytes})
}

// CountedConnection returns a connection that a pollenconn.Registry counts, nil for others.
func CountedConnection(conn net.Conn) Connection {
	if c, ok := conn.(*pollenconn.Conn); ok {
		return c
	}
	return nil
}

// Serve serves the calls on a connection until it ends, and closes it.
func Serve(server *rpc.Server, conn io.ReadWriteCloser, config Config) {
	if config.Messages == nil {
		config.Messages = pollenmemory.New(pollenmemory.Config{})
	}
	writer := bufio.NewWriter(conn)
	c := &codec{
		conn: conn, writer: writer, encoder: gob.NewEncoder(writer), config: config,
		calls: make(chan struct{}, config.MaxCalls), memory: config.Messages.NewAccount().NewReservation(),
	}
	c.decoder = gob.NewDecoder(&frameReader{reader: conn, maxBytes: uint64(config.MaxMessageBytes), onFrame: c.reserve})
	server.ServeCodec(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.Release()
}

// codec is an rpc.ServerCodec that exchanges gob messages within limits.
type codec struct {
	config  Config
	conn    io.Closer
	decoder *gob.Decoder
	encoder *gob.Encoder
	writer  *bufio.Writer
	// calls holds a value for each call that is handled.
	calls chan struct{}

	mu sync.Mutex
	// handled is the number of calls that are handled; memory holds that of the messages that came since it was zero.
	handled int
	memory  *pollenmemory.Reservation
}

// reserve counts a message of a length.
func (c *codec) reserve(bytes uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.memory.Grow(int64(bytes) * int64(c.config.DecodedFactor))
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(request *rpc.Request) error {
	c.calls <- struct{}{}
	err := c.decoder.Decode(request)
	var tooLarge *MessageTooLargeError
	var exhausted *pollenmemory.ExhaustedError
	if c.config.Connection != nil && (errors.As(err, &tooLarge) || errors.As(err, &exhausted)) {
		c.config.Connection.CountClosed(pollenconn.Message)
	}
	if err == nil {
		c.begin()
	}
	return err
}

// begin notes that a call has begun to come, which WriteResponse ends.
func (c *codec) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handled++; c.handled == 1 && c.config.Connection != nil {
		c.config.Connection.SetServing(true)
	}
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

// WriteResponse implements rpc.ServerCodec.
func (c *codec) WriteResponse(response *rpc.Response, body any) error {
	defer c.end()
	if err := errors.Join(c.encoder.Encode(response), c.encoder.Encode(body), c.writer.Flush()); err != nil {
		// What follows on the connection can't be read.
		return errors.Join(err, c.conn.Close())
	}
	return nil
}

// end notes that a call has been answered.
func (c *codec) end() {
	<-c.calls
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handled--; c.handled > 0 {
		return
	}
	c.memory.Release()
	if c.config.Connection != nil {
		c.config.Connection.SetServing(false)
	}
}

// Close implements rpc.ServerCodec.
func (c *codec) Close() error {
	if err := c.conn.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
