package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// HandoverLimits bound the transfer of KV cache from targets that are leaving or
// taken out of service.
type HandoverLimits struct {
	// BytesPerSecond is the rate of all transfers together; 0 disables them.
	BytesPerSecond int64
	// BytesPerTarget is the maximum number of bytes moved off one target.
	BytesPerTarget int64
	// BatchBytes is the maximum number of bytes moved by one order. A chat larger
	// than that is moved alone.
	BatchBytes int64
	// DefaultChatBytes is the assumed cache size of a chat if it is not known.
	DefaultChatBytes int64
	// PrefillBytesPerSecond is the rate at which an engine recomputes the same
	// cache. A chat is moved only if its return probability outweighs the transfer:
	// probability × bytes / prefill rate > bytes / transfer rate.
	PrefillBytesPerSecond int64
	// HalfLife is the idle time that halves a chat's return probability.
	HalfLife time.Duration
	// Window is the maximum duration of a handover.
	Window time.Duration
}

// DefaultHandoverLimits returns limits for engines that compute 200 MB of cache per
// second.
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
	// LastUsed is when the chat's last request ran. Turns is the number of its
	// requests; 0 counts as 1.
	LastUsed time.Time
	Turns    int
}

// handover moves the chats of leaving targets to other targets of the same service.
// Its orders are not recorded: losing one or running it twice only costs time.
type handover struct {
	limits    HandoverLimits
	transfers []*transfer
	backlog   float64
	updatedAt time.Time
}

// transfer is the handover of one leaving target.
type transfer struct {
	source      string
	incarnation uint64
	startedAt   time.Time
	chats       []ChatState
	movedBytes  int64
	movedChats  int
	batch       *cacheBatch
}

// cacheBatch is the part of a transfer that is in progress.
type cacheBatch struct {
	chats       []ChatState
	bytes       int64
	destination string
	order       *pendingOrder
}

func newHandover() handover {
	return handover{limits: DefaultHandoverLimits()}
}

// NeedsHandover reports whether the target's chats should be moved: it is leaving,
// taken out of service, or draining for an order to serve another service.
func (p *Planner) NeedsHandover(target string) bool {
	e := p.engines[target]
	return e != nil && e.MovesCache && e.Service != "" && (!p.inService(e) || e.changesService())
}

// changesService reports whether the target is draining for another service.
func (e *engine) changesService() bool {
	return e.order != nil && e.order.state == Draining && e.order.Service != e.Service
}

// ObserveChats replaces the list of chats that are warm on a target for which
// NeedsHandover returns true. A chat that is no longer listed is no longer moved.
func (p *Planner) ObserveChats(now time.Time, target string, chats []ChatState) {
	if !p.NeedsHandover(target) {
		return
	}
	e := p.engines[target]
	t := p.handover.findTransfer(target)
	if t == nil || t.incarnation != e.Incarnation {
		p.handover.removeTransfer(target)
		t = &transfer{source: target, incarnation: e.Incarnation, startedAt: now}
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
		t.chats = slices.DeleteFunc(t.chats, func(c ChatState) bool { return t.batch.contains(c.Chat) })
	}
}

func (b *cacheBatch) contains(chat string) bool {
	return slices.ContainsFunc(b.chats, func(c ChatState) bool { return c.Chat == chat })
}

func (h *handover) findTransfer(source string) *transfer {
	for _, t := range h.transfers {
		if t.source == source {
			return t
		}
	}
	return nil
}

func (h *handover) removeTransfer(source string) {
	h.transfers = slices.DeleteFunc(h.transfers, func(t *transfer) bool { return t.source == source })
}

// returnProbability estimates how likely the chat is to return. It grows with the
// number of turns and halves with each half-life of idle time.
func (h *handover) returnProbability(now time.Time, c ChatState) float64 {
	idle := max(0, now.Sub(c.LastUsed))
	base := 1 - math.Exp2(-float64(max(1, c.Turns)))
	return base * math.Exp2(-idle.Seconds()/h.limits.HalfLife.Seconds())
}

// worthMoving reports whether moving the chat costs less than recomputing its cache.
func (h *handover) worthMoving(now time.Time, c ChatState) bool {
	return h.returnProbability(now, c)*float64(h.limits.BytesPerSecond) > float64(h.limits.PrefillBytesPerSecond)
}

// planHandover ends finished transfers and starts the next batch of the others.
func (p *Planner) planHandover(now time.Time) {
	h := &p.handover
	if h.updatedAt.Before(now) {
		h.backlog = max(0, h.backlog-now.Sub(h.updatedAt).Seconds()*float64(h.limits.BytesPerSecond))
		h.updatedAt = now
	}
	for _, t := range slices.Clone(h.transfers) {
		if reason := p.handoverEndReason(now, t); reason != "" {
			p.endHandover(now, t, reason)
			continue
		}
		if t.batch == nil && h.backlog <= float64(h.limits.BatchBytes) {
			p.startBatch(now, t)
		}
	}
}

// handoverEndReason returns why a transfer has ended, or "" while it continues.
func (p *Planner) handoverEndReason(now time.Time, t *transfer) string {
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
	case now.Sub(t.startedAt) >= p.handover.limits.Window:
		return "its time is over"
	case t.batch == nil && !p.anyWorthMoving(now, t):
		return "no other chat pays"
	}
	return ""
}

func (p *Planner) anyWorthMoving(now time.Time, t *transfer) bool {
	return slices.ContainsFunc(t.chats, func(c ChatState) bool { return p.handover.worthMoving(now, c) })
}

func (p *Planner) endHandover(now time.Time, t *transfer, reason string) {
	if t.batch != nil {
		p.close(now, t.batch.order, OutcomeCancelled, reason)
	}
	p.handover.removeTransfer(t.source)
	p.logf("Handover of %s ended: %s, %d chats and %d bytes moved, %d chats left.", t.source, reason, t.movedChats, t.movedBytes, len(t.chats))
}

// startBatch selects the chats that are most likely to return, within the budget,
// and orders the target to export them.
func (p *Planner) startBatch(now time.Time, t *transfer) {
	source := p.engines[t.source]
	destination := p.selectImporter(now, source.Service)
	if destination == nil {
		p.waitReasons[t.source] = "no target of the service takes caches now"
		return
	}
	batch := p.nextBatch(now, t)
	if len(batch.chats) == 0 {
		t.chats = nil
		return
	}
	batch.destination = destination.Name
	t.batch = batch
	p.handover.backlog += float64(batch.bytes)
	batch.order = p.sendCacheOrder(now, ExportCache, source, destination.Name, batch)
}

// nextBatch removes the next chats from the transfer's list and returns them. Chats
// that are not worth moving or exceed the budget are removed as well.
func (p *Planner) nextBatch(now time.Time, t *transfer) *cacheBatch {
	h := &p.handover
	slices.SortStableFunc(t.chats, func(a, b ChatState) int {
		if c := cmp.Compare(h.returnProbability(now, b), h.returnProbability(now, a)); c != 0 {
			return c
		}
		return strings.Compare(a.Chat, b.Chat)
	})
	batch := &cacheBatch{}
	var remaining []ChatState
	for _, c := range t.chats {
		switch {
		case !h.worthMoving(now, c) || t.movedBytes+batch.bytes+c.Bytes > h.limits.BytesPerTarget:
		case len(batch.chats) > 0 && batch.bytes+c.Bytes > h.limits.BatchBytes:
			remaining = append(remaining, c)
		default:
			batch.chats = append(batch.chats, c)
			batch.bytes += c.Bytes
		}
	}
	t.chats = remaining
	return batch
}

// selectImporter returns the target of the service with the fewest cached chats and
// no import in progress, or nil if there is none.
func (p *Planner) selectImporter(now time.Time, service string) *engine {
	var found *engine
	for _, name := range p.targetNames {
		e := p.engines[name]
		if e.Service != service || !e.MovesCache || e.importing != nil || !p.serves(e) || !e.countsAsWarm(now, p.timing.WarmUpTimeout) {
			continue
		}
		if found == nil || e.CachedChats < found.CachedChats {
			found = e
		}
	}
	return found
}

// sendCacheOrder sends a cache order for a batch.
func (p *Planner) sendCacheOrder(now time.Time, kind OrderKind, e *engine, peer string, batch *cacheBatch) *pendingOrder {
	order := Order{
		ID: p.nextID(), Fence: p.fence, Target: e.Name, Incarnation: e.Incarnation, Kind: kind, Service: e.Service,
		Model: e.Model, Version: e.Version, Bytes: batch.bytes, Peer: peer, Reason: ReasonHandover, RecordedAt: now,
	}
	for _, c := range batch.chats {
		order.Chats = append(order.Chats, c.Chat)
	}
	o := &pendingOrder{Order: order, state: Sent, since: now, resendInterval: p.timing.ResendInterval}
	o.deadline = now.Add(p.timing.MaxReportLag + p.handover.batchTimeout(batch.bytes))
	p.orders = append(p.orders, o)
	p.linkOrder(e, o)
	p.logf("%s: %s of %d chats from %s to %s, %d bytes.", e.Service, kind, len(order.Chats), e.Name, peer, batch.bytes)
	p.send(now, o)
	return o
}

// batchTimeout returns the maximum duration of a transfer: four times the duration
// at the full rate.
func (h *handover) batchTimeout(bytes int64) time.Duration {
	return time.Duration(4 * float64(bytes) / float64(max(1, h.limits.BytesPerSecond)) * float64(time.Second))
}

// advanceCacheOrder updates a cache order. After the export, the batch is imported;
// after the import, the chats have moved.
func (p *Planner) advanceCacheOrder(now time.Time, o *pendingOrder, e *engine) {
	t := p.handover.transferOf(o)
	switch {
	case t == nil:
		p.close(now, o, OutcomeCancelled, "the handover is over")
	case o.state == Confirming && o.Kind == ExportCache:
		p.importBatch(now, t)
	case o.state == Confirming:
		p.finishBatch(now, t)
	case o.Kind == ImportCache && (!p.serves(e) || e.Incarnation != o.Incarnation):
		p.requeueBatch(now, t, "the other target takes no work")
	case !now.Before(o.deadline):
		p.alarms.raiseOnce(Alarm{Kind: AlarmOrderFailed, Service: o.Service, Target: o.Target, Message: "cache order not finished in time"})
		p.dropBatch(now, t, "not finished in time")
	case !now.Before(o.nextSend):
		p.send(now, o)
	}
}

func (h *handover) transferOf(o *pendingOrder) *transfer {
	for _, t := range h.transfers {
		if t.batch != nil && t.batch.order == o {
			return t
		}
	}
	return nil
}

func (p *Planner) importBatch(now time.Time, t *transfer) {
	batch := t.batch
	destination := p.engines[batch.destination]
	if destination == nil || !p.serves(destination) || destination.importing != nil {
		p.requeueBatch(now, t, "the other target takes no caches now")
		return
	}
	p.close(now, batch.order, OutcomeDone, "exported")
	batch.order = p.sendCacheOrder(now, ImportCache, destination, t.source, batch)
}

func (p *Planner) finishBatch(now time.Time, t *transfer) {
	batch := t.batch
	t.batch = nil
	t.movedBytes += batch.bytes
	t.movedChats += len(batch.chats)
	p.close(now, batch.order, OutcomeDone, "imported")
	p.effects = append(p.effects, MoveChats{Service: batch.order.Service, Chats: batch.order.Chats, From: t.source, To: batch.destination})
}

// requeueBatch returns a batch to the transfer's list to move it to another target.
func (p *Planner) requeueBatch(now time.Time, t *transfer, reason string) {
	batch := t.batch
	t.batch = nil
	t.chats = append(batch.chats, t.chats...)
	p.close(now, batch.order, OutcomeCancelled, reason)
}

// dropBatch abandons a batch.
func (p *Planner) dropBatch(now time.Time, t *transfer, reason string) {
	batch := t.batch
	t.batch = nil
	p.close(now, batch.order, OutcomeFailed, reason)
}

// HandoverStatus is the progress of moving the chats off one leaving target.
type HandoverStatus struct {
	Source string
	Since  time.Time
	// Moved and Remaining count chats.
	Moved, Remaining int
	MovedBytes       int64
	// Destination is the target of the batch in progress; empty for none.
	Destination string
}

// String returns the progress in one line for operators.
func (s HandoverStatus) String() string {
	return fmt.Sprintf("%s: %d chats moved, %d left, %d bytes", s.Source, s.Moved, s.Remaining, s.MovedBytes)
}

func (h *handover) status() []HandoverStatus {
	var all []HandoverStatus
	for _, t := range h.transfers {
		s := HandoverStatus{Source: t.source, Since: t.startedAt, Moved: t.movedChats, Remaining: len(t.chats), MovedBytes: t.movedBytes}
		if t.batch != nil {
			s.Destination = t.batch.destination
		}
		all = append(all, s)
	}
	return all
}
