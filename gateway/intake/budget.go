package intake

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/common/logs"
)

// ErrShort is returned if a request is refused because memory is short.
var ErrShort = errors.New("the memory for requests is in use")

const (
	// smallBytes is the most that a connection with an ordinary request holds.
	smallBytes = 256 << 10
	// smallShare is the part of a budget that only connections with up to smallBytes may use,
	// so that ordinary requests pass while large ones wait: 1 in smallShare.
	smallShare = 8
	// overdraftShare limits what may be taken before connections that were shed have let go
	// of their memory: 1 in overdraftShare of the budget.
	overdraftShare = 8
	// maxBodyWait and maxResponseWait limit the wait for the memory of connections that were
	// shed, or of clients that may have stalled.
	maxBodyWait     = time.Second
	maxResponseWait = 2 * stallTime
	// waitSteps is how often within its maximum wait a waiting connection looks again for clients
	// that have stalled.
	waitSteps = 4
	// logInterval is the least time between two log lines of what was shed.
	logInterval = time.Second
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Clock is the real one if nil.
	Clock clockwork.Clock
	// Limit is the memory in bytes.
	Limit int
	// Log and Scope report what is held and what is shed; nil reports nothing.
	Log   *logrus.Logger
	Scope tally.Scope
}

// Budget limits the memory that the connections of a process hold.
type Budget struct {
	clock   clockwork.Clock
	log     *logrus.Logger
	scope   tally.Scope
	held    tally.Gauge
	changed *sync.Cond

	mu       sync.Mutex
	limit    int
	used     int
	holdings map[*holding]struct{}
	// leaving is the part of used that belongs to holdings that were shed.
	leaving int
	// loggedAt is when what was shed was last logged, and unlogged what was shed since.
	loggedAt time.Time
	unlogged map[string]int
}

// holding is what one connection holds of a budget. Its fields are guarded by the mutex of
// the budget.
type holding struct {
	budget *Budget
	// owner is the listener of the connection.
	owner any
	// shed ends the connection's request.
	shed  func()
	bytes int
	phase Phase
	since time.Time
	// writingSince is when the client last took a part of its response, in nanoseconds since 1970;
	// 0 if nothing is being written. The mutex does not guard it.
	writingSince atomic.Int64
	// hasServed is set once the connection has had a request.
	hasServed bool
	isShed    bool
}

// NewBudget returns a budget of which nothing is used.
func NewBudget(config BudgetConfig) *Budget {
	b := &Budget{clock: config.Clock, log: config.Log, scope: config.Scope, limit: config.Limit, holdings: map[*holding]struct{}{}, unlogged: map[string]int{}}
	if b.clock == nil {
		b.clock = clockwork.NewRealClock()
	}
	if b.log == nil {
		b.log = logs.Discard()
	}
	if b.scope == nil {
		b.scope = tally.NoopScope
	}
	b.held = b.scope.Gauge("held_bytes")
	b.changed = sync.NewCond(&b.mu)
	return b
}

// Used returns the bytes that are held.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// open adds a connection that holds bytes.
func (b *Budget) open(h *holding, bytes int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.budget, h.since = b, b.clock.Now()
	b.holdings[h] = struct{}{}
	if err := b.reserve(h, bytes, 0); err != nil {
		delete(b.holdings, h)
		b.record("connection refused")
		return err
	}
	return nil
}

// close removes a connection with all that it holds, and returns its last phase.
func (h *holding) close() Phase {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, isOpen := b.holdings[h]; isOpen {
		b.give(h, h.bytes)
		delete(b.holdings, h)
	}
	return h.phase
}

// enter begins a phase. In the phase Waiting, only bytes remain held.
func (h *holding) enter(phase Phase, bytes int) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if phase == Waiting {
		b.give(h, max(h.bytes-bytes, 0))
		h.hasServed = true
	}
	if phase != Body {
		h.since = b.clock.Now()
	}
	h.phase = phase
}

// take reserves bytes. It waits up to maxWait for the memory of others.
func (h *holding) take(bytes int, maxWait time.Duration) error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if _, isOpen := h.budget.holdings[h]; !isOpen {
		return ErrShort
	}
	if err := h.budget.reserve(h, bytes, maxWait); err != nil {
		if !h.isShed {
			h.budget.record(reasonOf(h.phase))
		}
		return err
	}
	return nil
}

// release returns bytes.
func (h *holding) release(bytes int) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.give(h, min(bytes, h.bytes))
}

// write records that a client takes a part of its response from now on, or that all is written.
func (h *holding) write(isWriting bool) {
	if isWriting {
		h.writingSince.Store(h.budget.clock.Now().UnixNano())
		return
	}
	h.writingSince.Store(0)
}

// wasShed reports whether the connection was shed.
func (h *holding) wasShed() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.isShed
}

// reserve takes bytes for a connection. Others are shed if that helps.
func (b *Budget) reserve(h *holding, bytes int, maxWait time.Duration) error {
	limit := b.limit
	if h.bytes+bytes > smallBytes {
		limit -= b.limit / smallShare
	}
	isOver := false
	var timer clockwork.Timer
	defer func() {
		if timer != nil {
			timer.Stop()
			timer = nil
		}
	}()
	for {
		if h.isShed {
			return ErrShort
		}
		if b.used+bytes <= limit {
			b.used += bytes
			h.bytes += bytes
			b.held.Update(float64(b.used))
			return nil
		}
		makesRoom := b.shedFor(h, bytes, b.used-b.leaving+bytes-limit)
		if makesRoom && (maxWait == 0 || isOver) && b.used+bytes <= limit+b.limit/overdraftShare {
			limit = b.used + bytes
			continue
		}
		if maxWait == 0 || isOver || (!makesRoom && h.phase != Serving) {
			return ErrShort
		}
		if timer == nil {
			end := b.clock.Now().Add(maxWait)
			timer = b.clock.AfterFunc(maxWait/waitSteps, func() {
				b.mu.Lock()
				defer b.mu.Unlock()
				if timer == nil {
					return
				}
				isOver = !b.clock.Now().Before(end)
				timer.Reset(maxWait / waitSteps)
				b.changed.Broadcast()
			})
		}
		b.changed.Wait()
	}
}

// give returns bytes of a connection.
func (b *Budget) give(h *holding, bytes int) {
	if bytes <= 0 {
		return
	}
	b.used -= bytes
	h.bytes -= bytes
	if h.isShed {
		b.leaving -= bytes
	}
	b.held.Update(float64(b.used))
	b.changed.Broadcast()
}

// shedFor sheds the heaviest connections until they hold the bytes that are short. It reports
// false if the connection that asks for more is the heaviest itself, or none is left.
func (b *Budget) shedFor(asking *holding, bytes, short int) bool {
	now := b.clock.Now()
	for short > 0 {
		own := 0.0
		if asking.phase != Serving {
			own = weight(asking.claim(now, bytes))
		}
		heaviest, most := (*holding)(nil), own
		for h := range b.holdings {
			if h == asking || h.isShed {
				continue
			}
			if w := weight(h.claim(now, 0)); w > most {
				heaviest, most = h, w
			}
		}
		if heaviest == nil {
			return false
		}
		short -= heaviest.bytes
		b.end(heaviest)
	}
	return true
}

func (h *holding) claim(now time.Time, more int) claim {
	c := claim{phase: h.phase, bytes: h.bytes + more, age: now.Sub(h.since)}
	if since := h.writingSince.Load(); since != 0 {
		c.stalled = now.Sub(time.Unix(0, since))
	}
	return c
}

// end sheds a connection.
func (b *Budget) end(h *holding) {
	h.isShed = true
	b.leaving += h.bytes
	b.record(reasonOf(h.phase))
	h.shed()
}

// idleGrace is how long a connection that has had a request may wait for the next one while
// there are no free connections.
const idleGrace = time.Second

// shedWaiting sheds the connection of a listener that has waited longest for a request. It
// reports false if there is none that waits in vain.
func (b *Budget) shedWaiting(owner any) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var longest *holding
	for h := range b.holdings {
		if h.owner != owner || h.isShed || h.phase == Serving || h.phase == Body || (h.hasServed && now.Sub(h.since) < idleGrace) {
			continue
		}
		if longest == nil || h.since.Before(longest.since) {
			longest = h
		}
	}
	if longest == nil {
		return false
	}
	b.end(longest)
	return true
}

func reasonOf(phase Phase) string {
	switch phase {
	case Head:
		return "head not ended"
	case Body:
		return "body not ended"
	case Serving:
		return "response not read"
	}
	return "no request"
}

// record counts what was shed and logs it, at most once in logInterval.
func (b *Budget) record(reason string) {
	b.scope.Tagged(map[string]string{"reason": reason}).Counter("shed").Inc(1)
	b.unlogged[reason]++
	now := b.clock.Now()
	if now.Sub(b.loggedAt) < logInterval {
		return
	}
	entry := b.log.WithField("HeldBytes", b.used).WithField("LimitBytes", b.limit)
	for name, count := range b.unlogged {
		entry.WithField("Reason", name).WithField("Count", count).Warn("Connections were closed or refused for want of memory or connections.")
	}
	b.loggedAt = now
	clear(b.unlogged)
}
