// Package roster keeps what a host has heard of targets: which there are, where,
// whether they take work and how long they stay cold.
//
// A table is soft state. It is built from what targets announce, exchanged
// between hosts and lost with the process. The newest word of a target wins,
// whichever way it came; a word of an earlier start, or of a target whose
// address another one has taken over, changes nothing.
//
// # Usage
//
//	table := roster.NewTable()
//	table.Take(now, roster.Entry{Announcement: announcement, State: roster.Ready})
//	entries, version := table.Since(0)
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"comfreytiller.dev/target"
)

// State is what a target last said of itself.
type State string

// The states of a target.
const (
	// ReadyNames: the target takes new work.
	Ready State = "Ready"
	// Leaving: the target finishes its work and takes no new one.
	Leaving State = "Leaving"
	// Gone: the target has ended.
	Gone State = "Gone"
)

// rank orders the states of one start of a target, which never go back.
func (s State) rank() int {
	switch s {
	case Leaving:
		return 1
	case Gone:
		return 2
	}
	return 0
}

// forgetAfter is how long a target that ended or fell silent is remembered, so
// that its late words are known as such.
const forgetAfter = 2 * time.Minute

// Entry is what is known of one target.
type Entry struct {
	target.Announcement
	State State
	// WarmUpRemaining is how much longer the target stays cold, counted from Heard.
	WarmUpRemaining time.Duration
	// LastSeen is when its newest word was received, by this host's clock.
	LastSeen time.Time
	// Silent is set once the target has sent nothing for several intervals.
	Silent bool
}

// ColdUntil returns when the target has warmed up, by its own word.
func (e *Entry) ColdUntil() time.Time { return e.LastSeen.Add(e.WarmUpRemaining) }

// record is an entry with the version of the table that last changed it.
type record struct {
	Entry
	version uint64
}

// Table holds the targets. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	byName  map[string]*record
	version uint64
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byName: map[string]*record{}, changed: make(chan struct{})}
}

// Merge takes a word of a target and reports whether it says anything new beside
// that the target lives.
func (t *Table) Merge(now time.Time, entry Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry.LastSeen.IsZero() {
		entry.LastSeen = now
	}
	known := t.byName[entry.Name]
	if known != nil && !supersedes(&entry, &known.Entry) {
		return false
	}
	if t.addressTaken(&entry) {
		return false
	}
	if known != nil && known.Incarnation == entry.Incarnation {
		if known.State.rank() > entry.State.rank() {
			entry.State = known.State
		}
		if !differs(&entry, &known.Entry) {
			known.Entry = entry
			return false
		}
	}
	t.put(entry)
	return true
}

// supersedes reports whether a word is newer than what is known. The same word
// that came another way is taken where it was heard later.
func supersedes(entry, known *Entry) bool {
	if entry.Stamp == known.Stamp {
		return entry.State.rank() > known.State.rank() || known.Silent && !entry.Silent && entry.LastSeen.After(known.LastSeen)
	}
	return entry.After(known.Stamp)
}

// differs reports whether anything but the sign of life has changed.
func differs(a, b *Entry) bool {
	const warmUpSlack = 500 * time.Millisecond
	drift := a.ColdUntil().Sub(b.ColdUntil())
	warmUpMoved := (a.WarmUpRemaining > 0 || b.WarmUpRemaining > 0) && (drift > warmUpSlack || drift < -warmUpSlack)
	return a.State != b.State || a.Address != b.Address || a.Service != b.Service || a.FailureDomain != b.FailureDomain ||
		a.Version != b.Version || a.Capacity != b.Capacity || a.Silent != b.Silent || warmUpMoved
}

// addressTaken reports whether a target that started later holds the address.
// One that started earlier has ended; its entry is closed. The lock is held.
func (t *Table) addressTaken(entry *Entry) bool {
	for name, other := range t.byName {
		if name == entry.Name || other.Address != entry.Address || other.State == Gone {
			continue
		}
		if other.Incarnation > entry.Incarnation {
			return true
		}
		if other.Incarnation < entry.Incarnation {
			ended := other.Entry
			ended.State = Gone
			t.put(ended)
		}
	}
	return false
}

// put stores an entry as a change. The lock is held.
func (t *Table) put(entry Entry) {
	t.version++
	t.byName[entry.Name] = &record{Entry: entry, version: t.version}
	close(t.changed)
	t.changed = make(chan struct{})
}

// MarkGone records that a target has signed off; known is false for one that is
// not in the table.
func (t *Table) MarkGone(now time.Time, name string) (entry Entry, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.byName[name]
	if found == nil {
		return Entry{}, false
	}
	if found.State != Gone {
		left := found.Entry
		left.State, left.LastSeen = Gone, now
		t.put(left)
	}
	return t.byName[name].Entry, true
}

// Sweep marks the targets that have been silent for longer than silentAfter and
// forgets those long gone.
func (t *Table) Sweep(now time.Time, silentAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, known := range t.byName {
		silence := now.Sub(known.LastSeen)
		switch {
		case silence > forgetAfter:
			delete(t.byName, name)
		case silence > silentAfter && !known.Silent && known.State != Gone:
			silent := known.Entry
			silent.Silent = true
			t.put(silent)
		}
	}
}

// Get returns the entry of that name.
func (t *Table) Get(name string) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if found := t.byName[name]; found != nil {
		return found.Entry, true
	}
	return Entry{}, false
}

// ChangedSince returns the entries that changed after the version, ordered by name, and
// the present version.
func (t *Table) ChangedSince(version uint64) ([]Entry, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []Entry
	for _, known := range t.byName {
		if known.version > version {
			entries = append(entries, known.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return entries, t.version
}

// ReadyNames returns the names of the targets that take new work.
func (t *Table) ReadyNames() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, known := range t.byName {
		if known.State == Ready {
			names = append(names, name)
		}
	}
	return names
}

// Version returns the present version and a channel that is closed with the
// next change.
func (t *Table) Version() (uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.changed
}
