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
	host    string
	net     net.Conn
	clock   clockwork.Clock
	handler Handler

	queue  chan frame
	closed chan struct{}
	once   sync.Once

	mu       sync.Mutex
	nextCall uint64
	pending  map[uint64]chan Message
	// heard is when the last frame arrived, owed since when an answer is due, told
	// since when a message that wants none may be lost, probed when the last ping
	// left; zero for never.
	heard  time.Time
	owed   time.Time
	told   time.Time
	probed time.Time
}

func newConn(host string, conn net.Conn, clock clockwork.Clock, handler Handler) *Conn {
	return &Conn{
		host:    host,
		net:     conn,
		clock:   clock,
		handler: handler,
		queue:   make(chan frame, queueFrames),
		closed:  make(chan struct{}),
		pending: map[uint64]chan Message{},
		heard:   clock.Now(),
	}
}

// run serves the connection until it ends.
func (c *Conn) run() {
	go c.writeLoop()
	go c.watch()
	c.readLoop()
	c.close()
}

func (c *Conn) close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.net.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		for call, answer := range c.pending {
			close(answer)
			delete(c.pending, call)
		}
	})
}

// send queues a message that wants no answer.
func (c *Conn) send(message Message) error {
	if err := c.enqueue(frame{message: message}); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.told.IsZero() {
		c.told = c.clock.Now()
	}
	return nil
}

func (c *Conn) enqueue(f frame) error {
	select {
	case <-c.closed:
		return ErrClosed
	default:
	}
	select {
	case c.queue <- f:
		return nil
	default:
		return ErrQueueFull
	}
}

// call sends a message and waits for its answer.
func (c *Conn) call(ctx context.Context, message Message) (Message, error) {
	answer := make(chan Message, 1)
	id, err := c.expect(answer)
	if err != nil {
		return nil, err
	}
	defer c.forget(id)
	if err := c.enqueue(frame{call: id, message: message}); err != nil {
		return nil, err
	}
	select {
	case reply, ok := <-answer:
		if !ok {
			return nil, ErrClosed
		}
		if failure, isFailure := reply.(Failure); isFailure {
			return nil, errors.Wrapf(ErrRemoteFailure, "host %s: %s", c.host, failure.Message)
		}
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Conn) expect(answer chan Message) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
		return 0, ErrClosed
	default:
	}
	c.nextCall++
	c.pending[c.nextCall] = answer
	if c.owed.IsZero() {
		c.owed = c.clock.Now()
	}
	return c.nextCall, nil
}

func (c *Conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
	if len(c.pending) == 0 {
		c.owed = time.Time{}
	}
}

func (c *Conn) readLoop() {
	reader := bufio.NewReader(c.net)
	for {
		data, err := readFrame(reader)
		if err != nil {
			return
		}
		f, err := decodeFrame(data, c.clock.Now())
		if err != nil {
			return
		}
		c.note()
		c.take(f)
	}
}

// note records that the connection is alive.
func (c *Conn) note() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = c.clock.Now()
	c.probed, c.told = time.Time{}, time.Time{}
}

func (c *Conn) take(f frame) {
	switch f.message.(type) {
	case Ping:
		_ = c.enqueue(frame{message: Pong{}})
		return
	case Pong:
		return
	}
	if f.answer {
		c.deliver(f)
		return
	}
	c.handler(c.host, f.message, c.replyTo(f.call))
}

func (c *Conn) deliver(f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer, ok := c.pending[f.call]
	if !ok {
		return
	}
	delete(c.pending, f.call)
	answer <- f.message
}

func (c *Conn) replyTo(call uint64) Reply {
	if call == 0 {
		return nil
	}
	return func(message Message) {
		_ = c.enqueue(frame{call: call, answer: true, message: message})
	}
}

// writeLoop writes frames, flushing when none is waiting.
func (c *Conn) writeLoop() {
	defer c.close()
	writer := bufio.NewWriterSize(c.net, 16<<10)
	for {
		var f frame
		select {
		case f = <-c.queue:
		case <-c.closed:
			return
		}
		if err := c.writeFrame(writer, f); err != nil {
			return
		}
		if len(c.queue) > 0 {
			continue
		}
		if err := writer.Flush(); err != nil {
			return
		}
	}
}

func (c *Conn) writeFrame(writer *bufio.Writer, f frame) error {
	data, err := encodeFrame(f, c.clock.Now())
	if err != nil {
		return err
	}
	if len(data) > MaxFrameBytes {
		return errors.Wrapf(ErrInvalidFrame, "frame of %d bytes, at most %d", len(data), MaxFrameBytes)
	}
	var size [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(size[:], uint64(len(data)))
	if _, err := writer.Write(size[:n]); err != nil {
		return err
	}
	_, err = writer.Write(data)
	return err
}

func readFrame(reader *bufio.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, err
	}
	if size > MaxFrameBytes {
		return nil, errors.Wrapf(ErrInvalidFrame, "frame of %d bytes, at most %d", size, MaxFrameBytes)
	}
	data := make([]byte, size)
	_, err = io.ReadFull(reader, data)
	return data, err
}

// watch closes a connection that is idle for long, or that carries messages and
// stays silent after a probe. Writing alone proves nothing: the kernel takes
// bytes for a connection that the network has lost.
func (c *Conn) watch() {
	ticker := c.clock.NewTicker(silentAfter / 2)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.Chan():
			if c.check(c.clock.Now()) {
				c.close()
				return
			}
		}
	}
}

// check probes where needed and reports whether the connection is dead.
func (c *Conn) check(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 && c.told.IsZero() {
		return now.Sub(c.heard) > idleAfter
	}
	if !c.probed.IsZero() {
		return now.Sub(c.probed) > deadAfter
	}
	since := c.heard
	for _, waiting := range []time.Time{c.owed, c.told} {
		if waiting.After(since) {
			since = waiting
		}
	}
	if now.Sub(since) > silentAfter {
		c.probed = now
		_ = c.enqueue(frame{message: Ping{}})
	}
	return false
}
