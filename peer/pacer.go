package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// pacer limits the rate of the bulk frames of all connections of a node, so that other
// frames find the network link free.
//
// Load: hundreds of hosts come from hubs that were lost and need a roster at once.
type pacer struct {
	bytesPerSecond float64
	clock          clockwork.Clock
	// waiting is the number of connections with a frame that waits for its turn.
	waiting atomic.Int64

	// turn is held by the connection whose frame is next.
	turn sync.Mutex
	// freeAt is when the link has sent all frames so far. It is guarded by turn.
	freeAt time.Time
}

// encode waits until the link is free, encodes a frame with encode and reserves the time to
// send it. It returns ErrClosed if closed ends the wait.
func (p *pacer) encode(closed <-chan struct{}, encode func() ([]byte, error)) ([]byte, error) {
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	p.turn.Lock()
	defer p.turn.Unlock()
	select {
	case <-closed:
		return nil, ErrClosed
	default:
	}
	now := p.clock.Now()
	if wait := p.freeAt.Sub(now); wait > 0 {
		timer := p.clock.NewTimer(wait)
		defer timer.Stop()
		select {
		case now = <-timer.Chan():
		case <-closed:
			return nil, ErrClosed
		}
	}
	data, err := encode()
	if err != nil {
		return nil, err
	}
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(len(data)) / p.bytesPerSecond * float64(time.Second)))
	return data, nil
}

// encodedMessage is a message with its frame, which is encoded already.
type encodedMessage struct {
	Message
	frame []byte
}

// encodeWanted encodes a frame, or returns nil for a reply that is not waited for any more.
// The link of a hub is the bottleneck when all hosts start at once, and hosts that went to
// another hub don't read what waited here.
func (c *Conn) encodeWanted(f *frame) []byte {
	if response, ok := f.message.(WatchResponse); ok && response.IsWanted != nil && !response.IsWanted() {
		return nil
	}
	return c.encode(f)
}

// maxUrgentDeltaBytes is the size up to which a state delta is not a bulk message.
const maxUrgentDeltaBytes = 4 << 10

// isBulk reports whether a message may wait for others: it is large, or one of many, and
// repeated in one way or another.
func isBulk(message Message) bool {
	switch m := message.(type) {
	case WatchResponse:
		return len(m.Entries) > 0 || len(m.Loads) > 0 || len(m.Suspects) > 0 || len(m.Delta) > maxUrgentDeltaBytes
	case RosterUpdate:
		return len(m.Loads) > 0
	}
	return false
}
