// Package peer carries the control messages between hosts.
//
// Two hosts that have something to say share one TCP connection. Messages are
// protobuf frames behind a length; frames that are ready together leave in one
// write, so that a permit costs few bytes. Both ends prove that they know the
// shared key before the first frame. A connection that answers nothing while it
// owes an answer is closed, since something between the ends may have lost it.
//
// # Usage
//
//	node := peer.NewNode(peer.Config{Host: "rabat-a-1", Key: key, Clock: clock}, handler)
//	go node.Serve(listener)
//	answer, err := node.Call(ctx, "127.0.0.1:7001", peer.AcquireRequest{Request: request})
package peer

import (
	"time"

	"github.com/go-faster/errors"
)

// Errors of a call.
var (
	// ErrClosed reports a connection that ended before the answer.
	ErrClosed = errors.New("connection closed before the answer")
	// ErrQueueFull reports a connection whose queue is full.
	ErrQueueFull = errors.New("connection has too many messages queued")
	// ErrInvalidFrame reports bytes that are no frame of this protocol.
	ErrInvalidFrame = errors.New("not a frame")
	// ErrKeyMismatch reports a peer that does not know the shared key.
	ErrKeyMismatch = errors.New("peer does not know the shared key")
	// ErrRemoteFailure reports a failure that the peer told.
	ErrRemoteFailure = errors.New("peer failed")
)

// Limits and times of a connection.
const (
	// MaxFrameBytes is the largest frame.
	MaxFrameBytes = 16 << 20
	// queueFrames is the largest number of frames waiting on one connection.
	queueFrames = 4096
	// silentAfter is how long a connection that carries messages may be silent
	// before it is probed.
	silentAfter = 500 * time.Millisecond
	// deadAfter is how long a probe may stay unanswered. A host that was lost
	// without a sign and is back is reached again within the sum of both.
	deadAfter = 700 * time.Millisecond
	// dialTimeout bounds connecting and the handshake.
	dialTimeout = time.Second
	// firstDial bounds the first try to connect, each further one twice the one
	// before; 0.2 s is several round trips between regions.
	firstDial = 200 * time.Millisecond
	// idleAfter closes a connection without traffic.
	idleAfter = 2 * time.Minute
)

// Reply answers a message; it is called at most once, from any goroutine.
type Reply func(Message)

// Handler takes the messages of other hosts. It is called from the
// connection's read loop and must not block. The reply is nil for a message
// that wants no answer.
type Handler func(from string, message Message, reply Reply)

// noDeadline removes a connection's deadline.
var noDeadline time.Time
