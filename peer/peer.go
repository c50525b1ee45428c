// Package peer carries the control messages between hosts.
//
// Hosts exchange length-prefixed protobuf frames over TCP. A host keeps one
// connection to each address that it dials. Frames that are queued together are
// sent in one write, which keeps the cost of a permit to a few bytes. Both ends
// prove knowledge of the shared key before the first frame. A connection that
// receives nothing after messages were sent is probed, and closed if the probe
// remains unanswered, since a device on the path may have dropped it without
// notice.
//
// # Usage
//
//	node := peer.NewNode(peer.Config{Host: "rabat-a-1", Key: key, Clock: clock}, handler)
//	go node.ServeConn(accepted)
//	reply, err := node.Call(ctx, "127.0.0.1:7001", peer.AcquireRequest{Request: request})
package peer

import (
	"time"

	"github.com/go-faster/errors"
)

// Errors returned by calls and by the handshake.
var (
	// ErrClosed reports a connection that was closed before the reply arrived.
	ErrClosed = errors.New("connection closed before the answer")
	// ErrQueueFull reports a connection whose send queue is full.
	ErrQueueFull = errors.New("connection has too many messages queued")
	// ErrInvalidFrame reports data that is not a valid frame of this protocol.
	ErrInvalidFrame = errors.New("invalid frame")
	// ErrKeyMismatch reports a peer that does not know the shared key.
	ErrKeyMismatch = errors.New("peer does not know the shared key")
	// ErrRemoteFailure reports that the peer replied to a call with a Failure.
	ErrRemoteFailure = errors.New("peer failed")
)

// Limits and timeouts of a connection.
const (
	// MaxFrameBytes is the maximum size of a frame, compressed or not.
	MaxFrameBytes = 16 << 20
	// maxQueuedFrames is the maximum length of a connection's send queue.
	maxQueuedFrames = 4096
	// maxQueuedBulkFrames is the maximum number of frames that wait for the node's bulk
	// rate on one connection. A host has one poll at a time.
	maxQueuedBulkFrames = 64
	// probeInterval is how long a connection that carries messages may receive
	// nothing before it is probed.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is how long a probe may remain unanswered before the connection
	// is closed. A host that disappeared without closing its connections and has
	// returned is reachable again within probeInterval plus probeTimeout.
	probeTimeout = 700 * time.Millisecond
	// dialTimeout limits establishing the TCP connection over all attempts, and
	// separately the handshake.
	dialTimeout = time.Second
	// initialDialTimeout limits the first connection attempt and doubles with each
	// further one. 200 ms is several round trips between regions.
	initialDialTimeout = 200 * time.Millisecond
	// idleTimeout is how long a connection without traffic is kept open.
	idleTimeout = 2 * time.Minute
)

// Reply sends the reply to a message. It is called at most once, from any
// goroutine.
type Reply func(Message)

// Handler processes messages from other hosts. It is called from the
// connection's read loop and must not block. reply is nil for a message that
// expects no reply.
type Handler func(from string, message Message, reply Reply)

// noDeadline clears the deadline of a connection.
var noDeadline time.Time
