package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// Conn is one authenticated connection to another host.
type Conn struct {
	// host is the name of the peer on an accepted connection and its address on a
	// dialed one.
	host    string
	netConn net.Conn
	clock   clockwork.Clock
	handler Handler
	traffic *traffic
	// pacer limits the rate of bulk frames; nil if there is no limit.
	pacer *pacer
	// onDropped is called for a message that can't be encoded.
	onDropped func(host string, message Message, err error)

	sendQueue chan frame
	// bulkQueues hold the frames that wait for the pacer, by priority: a change doesn't wait
	// behind a large state delta for the same host.
	bulkQueues [priorities]chan frame
	closed     chan struct{}
	closeOnce  sync.Once

	mu         sync.Mutex
	lastCallID uint64
	pending    map[uint64]chan Message
	// lastReceived is when the last data arrived. callPendingSince is the time
	// from which at least one call has been pending. unconfirmedSince is when the
	// first message that expects no reply was sent after the last received data.
	// probeSentAt is when the unanswered ping was sent. The last three are zero if
	// there is no such call, message or ping.
	lastReceived     time.Time
	callPendingSince time.Time
	unconfirmedSince time.Time
	probeSentAt      time.Time
}

func newConn(host string, conn net.Conn, clock clockwork.Clock, handler Handler, traffic *traffic, pacer *pacer) *Conn {
	c := &Conn{
		host:         host,
		netConn:      conn,
		clock:        clock,
		handler:      handler,
		traffic:      traffic,
		pacer:        pacer,
		onDropped:    func(string, Message, error) {},
		sendQueue:    make(chan frame, maxQueuedFrames),
		closed:       make(chan struct{}),
		pending:      map[uint64]chan Message{},
		lastReceived: clock.Now(),
	}
	for rank := range c.bulkQueues {
		c.bulkQueues[rank] = make(chan frame, maxQueuedBulkFrames)
	}
	return c
}

// run serves the connection until it is closed.
func (c *Conn) run() {
	go c.writeLoop()
	if c.pacer != nil {
		for rank := range priorities {
			go c.paceLoop(rank)
		}
	}
	go c.monitor()
	c.readLoop()
	c.close()
}

func (c *Conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.netConn.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		for call, replies := range c.pending {
			close(replies)
			delete(c.pending, call)
		}
	})
}

// send queues a message that expects no reply.
func (c *Conn) send(message Message) error {
	if err := c.enqueue(frame{message: message}); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unconfirmedSince.IsZero() {
		c.unconfirmedSince = c.clock.Now()
	}
	return nil
}

// enqueue returns ErrQueueFull rather than block when the send queue is full.
func (c *Conn) enqueue(f frame) error {
	select {
	case <-c.closed:
		return ErrClosed
	default:
	}
	queue := c.sendQueue
	if message := unwrapShared(f.message); c.pacer != nil && isBulk(message) {
		queue, f.queuedAt = c.bulkQueues[priorityOf(message)], c.clock.Now()
	}
	select {
	case queue <- f:
		return nil
	default:
		return ErrQueueFull
	}
}

// call sends a message and waits for the reply.
func (c *Conn) call(ctx context.Context, message Message) (Message, error) {
	replies := make(chan Message, 1)
	id, err := c.registerCall(replies)
	if err != nil {
		return nil, err
	}
	defer c.unregisterCall(id)
	if err := c.enqueue(frame{callID: id, message: message}); err != nil {
		return nil, err
	}
	select {
	case reply, ok := <-replies:
		if !ok {
			return nil, ErrClosed
		}
		if unsent, isUnsent := reply.(unsentCall); isUnsent {
			return nil, unsent.err
		}
		if failure, isFailure := reply.(Failure); isFailure {
			return nil, errors.Wrapf(ErrRemoteFailure, "host %s: %s", c.host, failure.Message)
		}
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// registerCall assigns a call ID and registers the channel for its reply.
func (c *Conn) registerCall(replies chan Message) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
		return 0, ErrClosed
	default:
	}
	c.lastCallID++
	c.pending[c.lastCallID] = replies
	if c.callPendingSince.IsZero() {
		c.callPendingSince = c.clock.Now()
	}
	return c.lastCallID, nil
}

func (c *Conn) unregisterCall(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
	if len(c.pending) == 0 {
		c.callPendingSince = time.Time{}
	}
}

func (c *Conn) readLoop() {
	reader := bufio.NewReader(receiptReader{c})
	for {
		data, err := readFrame(reader)
		if err != nil {
			return
		}
		f, err := decodeFrame(data, c.clock.Now())
		if err != nil {
			return
		}
		c.traffic.recordReceived(f.message, len(data))
		c.dispatch(f)
	}
}

// receiptReader reads from a connection and records when data arrives. A large frame
// takes seconds on a slow link, and no other frame overtakes it.
type receiptReader struct{ conn *Conn }

// Read implements io.Reader.
func (r receiptReader) Read(p []byte) (int, error) {
	n, err := r.conn.netConn.Read(p)
	if n > 0 {
		r.conn.recordReceived()
	}
	return n, err //nolint:wrapcheck // It is the connection's own error.
}

// recordReceived records that data has arrived, which confirms that the
// connection works.
func (c *Conn) recordReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReceived = c.clock.Now()
	c.probeSentAt, c.unconfirmedSince = time.Time{}, time.Time{}
}

func (c *Conn) dispatch(f frame) {
	switch f.message.(type) {
	case Ping:
		_ = c.enqueue(frame{message: Pong{}})
		return
	case Pong:
		return
	}
	if f.isReply {
		c.deliverReply(f)
		return
	}
	c.handler(c.host, f.message, c.replyFunc(f.callID))
}

func (c *Conn) deliverReply(f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	replies, ok := c.pending[f.callID]
	if !ok {
		return
	}
	delete(c.pending, f.callID)
	replies <- f.message
}

func (c *Conn) replyFunc(call uint64) Reply {
	if call == 0 {
		return nil
	}
	return func(message Message) {
		_ = c.enqueue(frame{callID: call, isReply: true, message: message})
	}
}

// writeLoop writes queued frames and flushes when the queue is empty.
func (c *Conn) writeLoop() {
	defer c.close()
	writer := bufio.NewWriterSize(c.netConn, 16<<10)
	for {
		var f frame
		select {
		case f = <-c.sendQueue:
		case <-c.closed:
			return
		}
		if data := c.encode(&f); len(data) > 0 {
			if _, isUpdate := f.message.(RosterUpdate); isUpdate && c.pacer != nil && !isBulk(f.message) {
				c.pacer.recordUrgent(len(data))
			}
			if err := c.writeFrame(writer, f, data); err != nil {
				return
			}
		}
		if len(c.sendQueue) > 0 {
			continue
		}
		if err := writer.Flush(); err != nil {
			return
		}
	}
}

// paceLoop passes the bulk frames of a priority on to the writeLoop, one after the other, when it
// is their turn.
func (c *Conn) paceLoop(rank priority) {
	for {
		var f frame
		select {
		case f = <-c.bulkQueues[rank]:
		case <-c.closed:
			return
		}
		data, err := c.pacer.encodePending(c.closed, rank, pendingReply(f.message), func() ([]byte, error) { return c.encodeWanted(&f), nil })
		if err != nil {
			c.close()
			return
		}
		if len(data) == 0 {
			continue
		}
		c.pacer.waits.record(rank, c.clock.Since(f.queuedAt))
		f.message = encodedMessage{Message: f.message, frame: data}
		select {
		case c.sendQueue <- f:
		case <-c.closed:
			return
		}
	}
}

func (c *Conn) writeFrame(writer *bufio.Writer, f frame, data []byte) error {
	c.traffic.recordSent(f.message, len(data))
	var size [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(size[:], uint64(len(data)))
	if _, err := writer.Write(size[:n]); err != nil {
		return err
	}
	_, err := writer.Write(data)
	return err
}

// encode returns the encoded frame, and replaces a message that is encoded already by the
// message itself. A message that can't be encoded is dropped alone, since many calls share
// the connection: a call fails, and a reply becomes a Failure. The result is nil if nothing
// is to be sent.
func (c *Conn) encode(f *frame) []byte {
	switch m := f.message.(type) {
	case encodedMessage:
		f.message = m.Message
		return m.frame
	case *sharedMessage:
		f.message = m.Message
		data, err := m.encode(c.clock.Now())
		if err != nil {
			c.onDropped(c.host, m.Message, err)
		}
		return data
	}
	data, err := encodeFrame(*f, c.clock.Now())
	if err == nil {
		return data
	}
	c.onDropped(c.host, f.message, err)
	if !f.isReply {
		c.deliverReply(frame{callID: f.callID, message: unsentCall{err: err}})
		return nil
	}
	f.message = Failure{Message: "the reply can't be encoded"}
	data, err = encodeFrame(*f, c.clock.Now())
	if err != nil {
		c.onDropped(c.host, f.message, err)
		return nil
	}
	return data
}

// unsentCall takes the place of the reply to a call whose message can't be encoded.
type unsentCall struct{ err error }

func (unsentCall) message() {}

func readFrame(reader *bufio.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, err
	}
	if size > MaxFrameBytes {
		return nil, errors.Wrapf(ErrInvalidFrame, "frame has %d bytes, at most %d are allowed", size, MaxFrameBytes)
	}
	data := make([]byte, size)
	_, err = io.ReadFull(reader, data)
	return data, err
}

// monitor closes a connection that exceeds idleTimeout, or that carries messages
// and does not answer a probe. A successful write proves nothing: the kernel
// accepts data for a connection that the network has dropped.
func (c *Conn) monitor() {
	ticker := c.clock.NewTicker(probeInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.Chan():
			if c.checkLiveness(c.clock.Now()) {
				c.close()
				return
			}
		}
	}
}

// checkLiveness sends a probe if one is due and reports whether the connection
// must be closed.
func (c *Conn) checkLiveness(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 && c.unconfirmedSince.IsZero() {
		return now.Sub(c.lastReceived) > idleTimeout
	}
	if !c.probeSentAt.IsZero() {
		return now.Sub(c.probeSentAt) > probeTimeout
	}
	since := c.lastReceived
	for _, start := range []time.Time{c.callPendingSince, c.unconfirmedSince} {
		if start.After(since) {
			since = start
		}
	}
	if now.Sub(since) > probeInterval {
		c.probeSentAt = now
		_ = c.enqueue(frame{message: Ping{}})
	}
	return false
}
