package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// HandoverLimits bound the KV cache that is moved off targets that leave or are
// taken out.
type HandoverLimits struct {
	// BytesPerSecond is the rate of all transfers together; 0 moves nothing.
	BytesPerSecond int64
	// BytesPerTarget is the budget of one leaving target.
	BytesPerTarget int64
	// BatchBytes is the most that one order moves.
	BatchBytes int64
	// DefaultChatBytes is taken for a chat whose size is not known.
	DefaultChatBytes int64
	// PrefillBytesPerSecond is the rate at which an engine makes the same cache
	// anew. A chat is moved only while its chance to return outweighs the
	// transfer: chance × bytes / prefill rate > bytes / transfer rate.
	PrefillBytesPerSecond int64
	// HalfLife is the idle time that halves a chat's chance to return.
	HalfLife time.Duration
	// Window is the longest time that a handover may take.
	Window time.Duration
}

// DefaultHandoverLimits suits engines that make 200 MB of cache a second.
func DefaultHandoverLimits() HandoverLimits {
	return HandoverLimits{
		BytesPerSecond:        1 << 30,
		BytesPerTarget:        64 << 30,
		BatchBytes:            2 << 30,
		DefaultChatBytes:      64 << 20,
		PrefillBytesPerSecond: 200 << 20,
		HalfLife:              20 * time.Minute,
		Window:                2 * time.Minute,
	}
}

// ChatState is a chat whose cache is warm on a target.
type ChatState struct {
	Chat string
	// Bytes is the size of the cache; 0 for unknown.
	Bytes int64
	// LastUsed is when the chat's last request ran, Turns how many it has had;
	// 0 counts as one.
	LastUsed time.Time
	Turns    int
}

// handover moves the chats of leaving targets to others of the same service.
// Its orders are not recorded: one that is lost or done twice costs only time.
type handover struct {
	limits    HandoverLimits
	transfers []*transfer
	backlog   float64
	at        time.Time
}

// transfer is the handover of one leaving target.
type transfer struct {
	source      string
	incarnation uint64
	since       time.Time
	chats       []ChatState
	spent       int64
	moved       int
	batch       *cacheBatch
}

// cacheBatch is the part of a transfer that is under way.
type cacheBatch struct {
	chats []ChatState
	bytes int64
	to    string
	order *pending
}

func newHandover() handover {
	return handover{limits: DefaultHandoverLimits()}
}

// NeedsHandover reports whether the target's chats are to be moved: it leaves, is
// taken out, or drains for an order to serve another service.
func (p *Planner) NeedsHandover(target string) bool {
	e := p.engines[target]
	return e != nil && e.MovesCache && e.Service != "" && (!p.inService(e) || e.changesService())
}

// changesService reports whether the target drains for another service.
func (e *engine) changesService() bool {
	return e.order != nil && e.order.state == Draining && e.order.Service != e.Service
}

// ObserveChats takes the chats that are warm on a target for which NeedsHandover is true. A
// chat that is no longer named is not moved any more.
func (p *Planner) ObserveChats(now time.Time, target string, chats []ChatState) {
	if !p.NeedsHandover(target) {
		return
	}
	e := p.engines[target]
	t := p.handover.find(target)
	if t == nil || t.incarnation != e.Incarnation {
		p.handover.drop(target)
		t = &transfer{source: target, incarnation: e.Incarnation, since: now}
		p.handover.transfers = append(p.handover.transfers, t)
		slices.SortFunc(p.handover.transfers, func(a, b *transfer) int { return strings.Compare(a.source, b.source) })
	}
	t.chats = slices.Clone(chats)
	for i := range t.chats {
		if t.chats[i].Bytes <= 0 {
			t.chats[i].Bytes = p.handover.limits.DefaultChatBytes
		}
	}
	if t.batch != nil {
		t.chats = slices.DeleteFunc(t.chats, func(c ChatState) bool { return t.batch.holds(c.Chat) })
	}
}

func (b *cacheBatch) holds(chat string) bool {
	return slices.ContainsFunc(b.chats, func(c ChatState) bool { return c.Chat == chat })
}

func (h *handover) find(source string) *transfer {
	for _, t := range h.transfers {
		if t.source == source {
			return t
		}
	}
	return nil
}

func (h *handover) drop(source string) {
	h.transfers = slices.DeleteFunc(h.transfers, func(t *transfer) bool { return t.source == source })
}

// chance estimates whether the chat returns: it grows with the turns that the
// chat has had and halves with each half-life of silence.
func (h *handover) chance(now time.Time, c ChatState) float64 {
	idle := max(0, now.Sub(c.LastUsed))
	habit := 1 - math.Exp2(-float64(max(1, c.Turns)))
	return habit * math.Exp2(-idle.Seconds()/h.limits.HalfLife.Seconds())
}

// pays reports whether moving the chat costs less than making its cache anew.
func (h *handover) pays(now time.Time, c ChatState) bool {
	return h.chance(now, c)*float64(h.limits.BytesPerSecond) > float64(h.limits.PrefillBytesPerSecond)
}

// planHandover starts the next batch of each transfer that still pays.
func (p *Planner) planHandover(now time.Time) {
	h := &p.handover
	if h.at.Before(now) {
		h.backlog = max(0, h.backlog-now.Sub(h.at).Seconds()*float64(h.limits.BytesPerSecond))
		h.at = now
	}
	for _, t := range slices.Clone(h.transfers) {
		if reason := p.handoverEnd(now, t); reason != "" {
			p.endHandover(now, t, reason)
			continue
		}
		if t.batch == nil && h.backlog <= float64(h.limits.BatchBytes) {
			p.startBatch(now, t)
		}
	}
}

// handoverEnd returns why a transfer is over; empty while it goes on.
func (p *Planner) handoverEnd(now time.Time, t *transfer) string {
	e := p.engines[t.source]
	switch {
	case e == nil || !e.lostAt.IsZero() && !e.present(p.observedAt):
		return "the target is gone"
	case e.Incarnation != t.incarnation:
		return "the target restarted"
	case e.Service == "":
		return "the target serves nothing"
	case p.inService(e) && !e.changesService():
		return "the target is back"
	case now.Sub(t.since) >= p.handover.limits.Window:
		return "its time is over"
	case t.batch == nil && !p.anyPays(now, t):
		return "no other chat pays"
	}
	return ""
}

func (p *Planner) anyPays(now time.Time, t *transfer) bool {
	return slices.ContainsFunc(t.chats, func(c ChatState) bool { return p.handover.pays(now, c) })
}

func (p *Planner) endHandover(now time.Time, t *transfer, reason string) {
	if t.batch != nil {
		p.close(now, t.batch.order, OutcomeCancelled, reason)
	}
	p.handover.drop(t.source)
	p.logf("handover of %s ended: %s, %d chats and %d bytes moved, %d left.", t.source, reason, t.moved, t.spent, len(t.chats))
}

// startBatch picks the chats most likely to return, within the budget, and has
// the target export them.
func (p *Planner) startBatch(now time.Time, t *transfer) {
	source := p.engines[t.source]
	to := p.importer(now, source.Service)
	if to == nil {
		p.waits[t.source] = "no target of the service takes caches now"
		return
	}
	batch := p.pickBatch(now, t)
	if len(batch.chats) == 0 {
		t.chats = nil
		return
	}
	batch.to = to.Name
	t.batch = batch
	p.handover.backlog += float64(batch.bytes)
	batch.order = p.sendCacheOrder(now, ExportCache, source, to.Name, batch)
}

// pickBatch takes the next chats off the transfer's list; those that don't pay
// or don't fit the budget are dropped from it.
func (p *Planner) pickBatch(now time.Time, t *transfer) *cacheBatch {
	h := &p.handover
	slices.SortStableFunc(t.chats, func(a, b ChatState) int {
		if c := cmp.Compare(h.chance(now, b), h.chance(now, a)); c != 0 {
			return c
		}
		return strings.Compare(a.Chat, b.Chat)
	})
	batch := &cacheBatch{}
	var later []ChatState
	for _, c := range t.chats {
		switch {
		case !h.pays(now, c) || t.spent+batch.bytes+c.Bytes > h.limits.BytesPerTarget:
		case len(batch.chats) > 0 && batch.bytes+c.Bytes > h.limits.BatchBytes:
			later = append(later, c)
		default:
			batch.chats = append(batch.chats, c)
			batch.bytes += c.Bytes
		}
	}
	t.chats = later
	return batch
}

// importer returns the target of the service that holds the fewest chats and
// takes no other import.
func (p *Planner) importer(now time.Time, service string) *engine {
	var found *engine
	for _, name := range p.names {
		e := p.engines[name]
		if e.Service != service || !e.MovesCache || e.importing != nil || !p.serves(e) || !e.warm(now, p.times.WarmUpTimeout) {
			continue
		}
		if found == nil || e.CachedChats < found.CachedChats {
			found = e
		}
	}
	return found
}

// sendCacheOrder sends an order for a batch.
func (p *Planner) sendCacheOrder(now time.Time, kind OrderKind, e *engine, peer string, batch *cacheBatch) *pending {
	order := Order{
		ID: p.nextID(), Fence: p.fence, Target: e.Name, Incarnation: e.Incarnation, Kind: kind, Service: e.Service,
		Model: e.Model, Version: e.Version, Bytes: batch.bytes, Peer: peer, Reason: ReasonHandover, RecordedAt: now,
	}
	for _, c := range batch.chats {
		order.Chats = append(order.Chats, c.Chat)
	}
	o := &pending{Order: order, state: Sent, since: now, pause: p.times.ResendInterval}
	o.deadline = now.Add(p.times.MaxReportLag + p.handover.expected(batch.bytes))
	p.orders = append(p.orders, o)
	p.attach(e, o)
	p.logf("%s: %s of %d chats from %s to %s, %d bytes.", e.Service, kind, len(order.Chats), e.Name, peer, batch.bytes)
	p.send(now, o)
	return o
}

// expected is the longest time that a fair transfer of a batch may take.
func (h *handover) expected(bytes int64) time.Duration {
	return time.Duration(4 * float64(bytes) / float64(max(1, h.limits.BytesPerSecond)) * float64(time.Second))
}

// progressCache moves a cache order on: after the export the import, after that
// the chats have moved.
func (p *Planner) progressCache(now time.Time, o *pending, e *engine) {
	t := p.handover.owner(o)
	switch {
	case t == nil:
		p.close(now, o, OutcomeCancelled, "the handover is over")
	case o.state == Confirming && o.Kind == ExportCache:
		p.importBatch(now, t)
	case o.state == Confirming:
		p.finishBatch(now, t)
	case o.Kind == ImportCache && (!p.serves(e) || e.Incarnation != o.Incarnation):
		p.returnBatch(now, t, "the other target takes no work")
	case !now.Before(o.deadline):
		p.alarms.event(Alarm{Kind: AlarmOrderFailed, Service: o.Service, Target: o.Target, Message: "cache order not finished in time"})
		p.dropBatch(now, t, "not finished in time")
	case !now.Before(o.nextSend):
		p.send(now, o)
	}
}

func (h *handover) owner(o *pending) *transfer {
	for _, t := range h.transfers {
		if t.batch != nil && t.batch.order == o {
			return t
		}
	}
	return nil
}

func (p *Planner) importBatch(now time.Time, t *transfer) {
	batch := t.batch
	to := p.engines[batch.to]
	if to == nil || !p.serves(to) || to.importing != nil {
		p.returnBatch(now, t, "the other target takes no caches now")
		return
	}
	p.close(now, batch.order, OutcomeDone, "exported")
	batch.order = p.sendCacheOrder(now, ImportCache, to, t.source, batch)
}

func (p *Planner) finishBatch(now time.Time, t *transfer) {
	batch := t.batch
	t.batch = nil
	t.spent += batch.bytes
	t.moved += len(batch.chats)
	p.close(now, batch.order, OutcomeDone, "imported")
	p.effects = append(p.effects, MoveChats{Service: batch.order.Service, Chats: batch.order.Chats, From: t.source, To: batch.to})
}

// returnBatch puts a batch back to be moved to another target.
func (p *Planner) returnBatch(now time.Time, t *transfer, reason string) {
	batch := t.batch
	t.batch = nil
	t.chats = append(batch.chats, t.chats...)
	p.close(now, batch.order, OutcomeCancelled, reason)
}

// dropBatch gives a batch up.
func (p *Planner) dropBatch(now time.Time, t *transfer, reason string) {
	batch := t.batch
	t.batch = nil
	p.close(now, batch.order, OutcomeFailed, reason)
}

// HandoverStatus is the handover of one leaving target.
type HandoverStatus struct {
	Source string
	Since  time.Time
	// Moved and Left count chats, Spent bytes.
	Moved, Remaining int
	MovedBytes       int64
	// Destination is the target of the batch under way; empty for none.
	Destination string
}

// String is the line for an operator.
func (s HandoverStatus) String() string {
	return fmt.Sprintf("%s: %d chats moved, %d left, %d bytes", s.Source, s.Moved, s.Remaining, s.MovedBytes)
}

func (h *handover) status() []HandoverStatus {
	var all []HandoverStatus
	for _, t := range h.transfers {
		s := HandoverStatus{Source: t.source, Since: t.since, Moved: t.moved, Remaining: len(t.chats), MovedBytes: t.spent}
		if t.batch != nil {
			s.Destination = t.batch.to
		}
		all = append(all, s)
	}
	return all
}
