package peer

import (
	"slices"
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

	mu sync.Mutex
	// isTaken is set while a connection has its turn. queues are the connections that wait
	// for theirs, by priority.
	isTaken bool
	queues  [priorities][]chan struct{}

	// freeAt is when the link has sent all frames so far, chargedAt is when urgent was last
	// counted. They belong to the connection that has its turn.
	freeAt    time.Time
	chargedAt time.Time

	// urgent is the number of bytes recorded since chargedAt by recordUrgent.
	urgent atomic.Int64

	waits bulkWaits
}

// freeUrgentShare is the part of the bulk rate that changes for other hubs and the responses to
// targets may use beside it: with a bulk rate of 0.6 of the link, a tenth of the link. What they
// use beyond that, the bulk frames don't get. After hubs were lost, they took as much as half of
// the link, and the messages of the quorum were seconds late. maxUrgentFactor leaves at least a
// third of its rate to the bulk.
const (
	freeUrgentShare = 1.0 / 6
	maxUrgentFactor = 2
)

// recordUrgent records bytes that did not wait.
func (p *pacer) recordUrgent(bytes int) { p.urgent.Add(int64(bytes)) }

// takeExcess returns the bytes recorded since the last call beyond their free share, up to
// maxUrgentFactor times those of the bulk frame that is sent now.
func (p *pacer) takeExcess(now time.Time, bulk int) float64 {
	free := freeUrgentShare * p.bytesPerSecond * now.Sub(p.chargedAt).Seconds()
	p.chargedAt = now
	return min(max(float64(p.urgent.Swap(0))-free, 0), maxUrgentFactor*float64(bulk))
}

// priority is the order in which bulk messages get the link; lower values come first.
type priority int

const (
	// priorityChange is for a few changes of targets, which confirm the view as well.
	priorityChange priority = iota
	// priorityState is for rosters, state views and suspects.
	priorityState
	// priorityLoads is for load digests and reports, which are replaced by later ones.
	priorityLoads
	priorities
)

// maxChangedEntries is the number of roster entries up to which a reply is a change, not a
// roster.
const maxChangedEntries = 8

// priorityOf returns the priority of a bulk message.
func priorityOf(message Message) priority {
	response, ok := message.(WatchResponse)
	switch {
	case !ok:
		return priorityLoads
	case len(response.Delta) > maxUrgentDeltaBytes || len(response.Entries)+response.Packed.Count() > maxChangedEntries:
		return priorityState
	case len(response.Entries) > 0:
		return priorityChange
	case len(response.Suspects) > 0:
		return priorityState
	}
	return priorityLoads
}

// takeTurn waits for the turn of a frame. It returns ErrClosed if closed ends the wait. A reply that
// has an urgent change meanwhile goes on in the queue of changes.
func (p *pacer) takeTurn(closed <-chan struct{}, rank priority, pending PendingReply) error {
	turn := p.queue(rank)
	var urgent <-chan struct{}
	if pending != nil && rank != priorityChange && !isClosed(turn) {
		stop := make(chan struct{})
		defer close(stop)
		urgent = pending.Urgent(stop)
	}
	select {
	case <-turn:
		return nil
	case <-urgent:
		p.leave(rank, turn)
		return p.takeTurn(closed, priorityChange, nil)
	case <-closed:
		p.leave(rank, turn)
		return ErrClosed
	}
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// queue returns a channel that is closed when it is the turn of a frame.
func (p *pacer) queue(rank priority) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	turn := make(chan struct{})
	if !p.isTaken {
		p.isTaken = true
		close(turn)
		return turn
	}
	p.queues[rank] = append(p.queues[rank], turn)
	return turn
}

// leave gives up the place in a queue, or the turn if it has come meanwhile.
func (p *pacer) leave(rank priority, turn chan struct{}) {
	p.mu.Lock()
	at := slices.Index(p.queues[rank], turn)
	if at >= 0 {
		p.queues[rank] = slices.Delete(p.queues[rank], at, at+1)
	}
	p.mu.Unlock()
	if at < 0 {
		p.passTurn()
	}
}

// passTurn passes the turn to the connection that is next.
func (p *pacer) passTurn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for rank, queue := range p.queues {
		if len(queue) > 0 {
			close(queue[0])
			p.queues[rank] = queue[1:]
			return
		}
	}
	p.isTaken = false
}

// encode is encodeRanked for state.
func (p *pacer) encode(closed <-chan struct{}, encode func() ([]byte, error)) ([]byte, error) {
	return p.encodeRanked(closed, priorityState, encode)
}

// encodeRanked waits until the link is free, encodes a frame with encode and reserves the time
// to send it. It returns ErrClosed if closed ends the wait.
func (p *pacer) encodeRanked(closed <-chan struct{}, rank priority, encode func() ([]byte, error)) ([]byte, error) {
	return p.encodePending(closed, rank, nil, encode)
}

// encodePending is encodeRanked for a reply that may have urgent changes meanwhile; nil for other
// messages.
func (p *pacer) encodePending(closed <-chan struct{}, rank priority, pending PendingReply, encode func() ([]byte, error)) ([]byte, error) {
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	if err := p.takeTurn(closed, rank, pending); err != nil {
		return nil, err
	}
	defer p.passTurn()
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
	select {
	case <-closed:
		return nil, ErrClosed
	default:
	}
	data, err := encode()
	if err != nil {
		return nil, err
	}
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	bytes := float64(len(data)) + p.takeExcess(now, len(data))
	p.freeAt = p.freeAt.Add(time.Duration(bytes / p.bytesPerSecond * float64(time.Second)))
	return data, nil
}

// encodedMessage is a message with its frame, which is encoded already.
type encodedMessage struct {
	Message
	frame []byte
}

// maxUrgentDeltaBytes is the size up to which a state delta is not a bulk message.
const maxUrgentDeltaBytes = 4 << 10

// isBulk reports whether a message may wait for others: it is large, or one of many, and
// repeated in one way or another.
func isBulk(message Message) bool {
	switch m := message.(type) {
	case WatchResponse:
		return len(m.Entries) > 0 || m.Packed != nil || len(m.Loads) > 0 || len(m.Suspects) > 0 || len(m.Delta) > maxUrgentDeltaBytes
	case RosterUpdate:
		return len(m.Loads) > 0
	}
	return false
}
