// Package roster keeps what a host knows about targets: which ones exist, their
// addresses, whether they admit new requests and how long they stay cold.
//
// A table is soft state. It is built from the targets' announcements, exchanged
// between hosts and lost with the process. The latest announcement of a target
// wins, regardless of the route it took. An announcement of an earlier
// incarnation, or of a target whose address now belongs to another one, changes
// nothing.
//
// # Usage
//
//	table := roster.NewTable()
//	table.Merge(now, roster.Entry{Announcement: announcement, State: roster.Ready})
//	entries, version := table.ChangedSince(0)
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"comfreytiller.dev/target"
	"comfreytiller.dev/target/ratelimit"
)

// State is the state that a target last announced.
type State string

// States of a target.
const (
	// Ready: the target admits new requests.
	Ready State = "Ready"
	// Leaving: the target is draining and admits no new requests.
	Leaving State = "Leaving"
	// Gone: the target has stopped.
	Gone State = "Gone"
)

// rank orders the states of one incarnation of a target. Its rank never
// decreases.
func (s State) rank() int {
	switch s {
	case Leaving:
		return 1
	case Gone:
		return 2
	}
	return 0
}

// entryTTL is how long a target that stopped or fell silent is remembered, so
// that delayed announcements of it are recognized as old.
const entryTTL = 2 * time.Minute

// Entry is what is known about one target.
type Entry struct {
	target.Announcement
	State State
	// WarmUpRemaining is how much longer the target stays cold, counted from
	// LastSeen.
	WarmUpRemaining time.Duration
	// LastSeen is when the latest announcement was received, by this host's
	// clock.
	LastSeen time.Time
	// Silent is set once the target has sent nothing for several announcement
	// intervals.
	Silent bool
	// RateLimit is what hosts learned last of the target's rate limit. Announcements do
	// not tell it.
	RateLimit ratelimit.Limit
}

// hasValidText reports whether all texts of the entry are UTF-8.
func (e *Entry) hasValidText() bool {
	texts := []string{e.Name, e.Address, e.FailureDomain, string(e.Kind), e.Service, e.Model, e.Version, string(e.Role), string(e.State)}
	return !slices.ContainsFunc(append(texts, e.Adapters...), func(text string) bool { return !utf8.ValidString(text) })
}

// ColdUntil returns when the warm-up that the target announced ends.
func (e *Entry) ColdUntil() time.Time { return e.LastSeen.Add(e.WarmUpRemaining) }

// record is an entry with the table version of its last change.
type record struct {
	Entry
	version     uint64
	fingerprint Fingerprint
	// isReplaced is set once another record replaces this one, or its target is forgotten.
	isReplaced bool
	// limitChangedAt is when a host's report last changed the rate limit.
	limitChangedAt time.Time
}

// Table holds the entries of the targets by name. It is safe for concurrent
// use.
type Table struct {
	mu     sync.Mutex
	byName map[string]*record
	// byAddress holds the names of the entries at each address.
	byAddress map[string]map[string]bool
	// byFingerprint holds the records of the ready targets.
	byFingerprint map[Fingerprint]*record
	// history holds the records in the order of their versions, some replaced ones among them.
	history []*record
	version uint64
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		byName: map[string]*record{}, byAddress: map[string]map[string]bool{}, byFingerprint: map[Fingerprint]*record{},
		changed: make(chan struct{}),
	}
}

// Merge merges an entry into the table and reports whether it is a change. A
// heartbeat, that is a later announcement with equal content, is not. An entry with a text
// that is not UTF-8 is ignored: no message to another host could contain it, nor the other
// entries beside it.
func (t *Table) Merge(now time.Time, entry Entry) bool {
	if !entry.hasValidText() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(now, entry)
}

// merge merges an entry with valid texts. The caller must hold t.mu.
func (t *Table) merge(now time.Time, entry Entry) bool {
	if entry.LastSeen.IsZero() {
		entry.LastSeen = now
	}
	current := t.byName[entry.Name]
	if current != nil && current.Incarnation == entry.Incarnation {
		entry.RateLimit = current.RateLimit.Latest(entry.RateLimit)
	}
	if current != nil && !supersedes(&entry, &current.Entry) {
		return current.Incarnation == entry.Incarnation && t.setRateLimit(current, entry.RateLimit)
	}
	if t.addressTaken(&entry) {
		return false
	}
	if current != nil && current.Incarnation == entry.Incarnation {
		if current.State.rank() > entry.State.rank() {
			entry.State = current.State
		}
		if !hasChanged(&entry, &current.Entry) {
			current.Entry = entry
			t.index(current, current)
			return false
		}
	}
	t.put(entry)
	return true
}

// supersedes reports whether an entry is newer than the current one. A copy of
// the same announcement is accepted if it has a later state, or if it was
// received later and ends the silence of the target.
func supersedes(entry, current *Entry) bool {
	if entry.Stamp == current.Stamp {
		return entry.State.rank() > current.State.rank() || current.Silent && !entry.Silent && entry.LastSeen.After(current.LastSeen)
	}
	return entry.After(current.Stamp)
}

// hasChanged reports whether two entries differ in more than the time of the
// announcement: in state, address, kind, service, model, failure domain, version,
// capacity, silence, rate limit or the end of the warm-up.
func hasChanged(a, b *Entry) bool {
	const warmUpSlack = 500 * time.Millisecond
	drift := a.ColdUntil().Sub(b.ColdUntil())
	warmUpMoved := (a.WarmUpRemaining > 0 || b.WarmUpRemaining > 0) && (drift > warmUpSlack || drift < -warmUpSlack)
	return a.State != b.State || a.Address != b.Address || a.Service != b.Service || a.FailureDomain != b.FailureDomain ||
		a.Kind != b.Kind || a.Model != b.Model || a.Version != b.Version || a.Capacity != b.Capacity || a.Silent != b.Silent || warmUpMoved ||
		a.RateLimit.Differs(b.RateLimit)
}

// addressTaken reports whether a target that started later holds the address. A
// target at the same address that started earlier must have stopped; its state
// becomes Gone. The caller must hold t.mu.
func (t *Table) addressTaken(entry *Entry) bool {
	for name := range t.byAddress[entry.Address] {
		other := t.byName[name]
		if name == entry.Name || other.State == Gone {
			continue
		}
		if other.Incarnation > entry.Incarnation {
			return true
		}
		if other.Incarnation < entry.Incarnation {
			gone := other.Entry
			gone.State = Gone
			t.put(gone)
		}
	}
	return false
}

// put stores an entry as a change. The caller must hold t.mu.
func (t *Table) put(entry Entry) {
	t.version++
	former := t.byName[entry.Name]
	if former != nil {
		former.isReplaced = true
		if former.Address != entry.Address {
			t.removeAddress(&former.Entry)
		}
	}
	names := t.byAddress[entry.Address]
	if names == nil {
		names = map[string]bool{}
		t.byAddress[entry.Address] = names
	}
	names[entry.Name] = true
	current := &record{Entry: entry, version: t.version}
	t.byName[entry.Name] = current
	t.index(former, current)
	t.appendHistory(current)
	close(t.changed)
	t.changed = make(chan struct{})
}

// appendHistory appends a record to the history, and drops the replaced ones from it once they are as
// many as the others. The caller must hold t.mu.
func (t *Table) appendHistory(current *record) {
	const minDropped = 64
	t.history = append(t.history, current)
	if len(t.history) > 2*len(t.byName)+minDropped {
		t.history = slices.DeleteFunc(t.history, func(r *record) bool { return r.isReplaced })
	}
}

// removeAddress removes an entry from the index by address. The caller must hold t.mu.
func (t *Table) removeAddress(entry *Entry) {
	names := t.byAddress[entry.Address]
	delete(names, entry.Name)
	if len(names) == 0 {
		delete(t.byAddress, entry.Address)
	}
}

// RecordRateLimit records what a host knows of the rate limit of a target, and reports
// whether it is a change. A change that follows another one at once is ignored, so that a
// target whose responses contradict each other does not occupy all hosts; the host reports
// it again.
func (t *Table) RecordRateLimit(now time.Time, report ratelimit.Report) bool {
	const minChangeInterval = 300 * time.Millisecond
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.byName[report.Target]
	if current == nil || current.Incarnation != report.Incarnation {
		return false
	}
	latest := current.RateLimit.Latest(report.Limit)
	isRefuted := latest == current.RateLimit && report.Limit.Differs(latest)
	if !isRefuted && !latest.Differs(current.RateLimit) {
		current.RateLimit = latest
		return false
	}
	if now.Sub(current.limitChangedAt) < minChangeInterval {
		return false
	}
	if isRefuted {
		// The host lacks what another one learned later.
		t.put(current.Entry)
		t.byName[report.Target].limitChangedAt = now
		return false
	}
	t.setRateLimit(current, latest)
	t.byName[report.Target].limitChangedAt = now
	return true
}

// setRateLimit sets the rate limit of a target and reports whether it is a change. The
// caller must hold t.mu.
func (t *Table) setRateLimit(current *record, limit ratelimit.Limit) bool {
	if !limit.Differs(current.RateLimit) {
		current.RateLimit = limit
		return false
	}
	changed := current.Entry
	changed.RateLimit = limit
	t.put(changed)
	return true
}

// MarkGone records that a target has left and returns its entry. found is false
// if the target is not in the table.
func (t *Table) MarkGone(now time.Time, name string) (entry Entry, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.byName[name]
	if current == nil {
		return Entry{}, false
	}
	if current.State != Gone {
		gone := current.Entry
		gone.State, gone.LastSeen = Gone, now
		t.put(gone)
	}
	return t.byName[name].Entry, true
}

// Sweep marks targets that have been silent for longer than silentAfter and
// deletes those that have been silent for longer than entryTTL.
func (t *Table) Sweep(now time.Time, silentAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, current := range t.byName {
		silence := now.Sub(current.LastSeen)
		switch {
		case silence > entryTTL:
			t.removeAddress(&current.Entry)
			t.index(current, nil)
			current.isReplaced = true
			delete(t.byName, name)
		case silence > silentAfter && !current.Silent && current.State != Gone:
			silent := current.Entry
			silent.Silent = true
			t.put(silent)
		}
	}
}

// Get returns the entry with the name.
func (t *Table) Get(name string) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if found := t.byName[name]; found != nil {
		return found.Entry, true
	}
	return Entry{}, false
}

// ChangedSince returns the entries that changed after the version, in the order
// of their last changes, and the current version.
func (t *Table) ChangedSince(version uint64) ([]Entry, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version >= t.version {
		return nil, t.version
	}
	changed := t.changedSince(version)
	entries := make([]Entry, 0, len(changed))
	for _, current := range changed {
		if !current.isReplaced {
			entries = append(entries, current.Entry)
		}
	}
	return entries, t.version
}

// NextChanges returns up to limit entries that changed after the version, the earliest changes
// first, and the version up to which these are all changes.
func (t *Table) NextChanges(version uint64, limit int) (entries []Entry, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version >= t.version {
		return nil, t.version
	}
	for _, current := range t.changedSince(version) {
		if current.isReplaced {
			continue
		}
		if len(entries) == limit {
			return entries, next
		}
		entries, next = append(entries, current.Entry), current.version
	}
	return entries, t.version
}

// changedSince returns the records with later versions, replaced ones among them. The caller must
// hold t.mu.
func (t *Table) changedSince(version uint64) []*record {
	first, _ := slices.BinarySearchFunc(t.history, version+1, func(r *record, version uint64) int { return cmp.Compare(r.version, version) })
	return t.history[first:]
}

// ReadyKeys returns the keys of the targets that admit new requests.
func (t *Table) ReadyKeys() []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []Key
	for name, current := range t.byName {
		if current.State == Ready {
			keys = append(keys, KeyOf(name))
		}
	}
	return keys
}

// Count returns the number of entries, also of targets that are gone.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byName)
}

// Version returns the current version and a channel that is closed at the next
// change.
func (t *Table) Version() (uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.changed
}
