package roster

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies the content of a ready target's entry: what the target announces,
// without the sequence number, its warm-up and what hosts know of its rate limit. Zero is no
// fingerprint.
type Fingerprint uint64

// Renewal says that a target has announced itself again without a change. It replaces the entry
// in messages between hubs: an entry takes 100 bytes and more, a renewal about 12.
//
// Load: 3,000 targets announce themselves every 1.2 s. As entries they filled the links of the
// hubs, and connections for elections and confirmations were closed as unresponsive.
type Renewal struct {
	Fingerprint Fingerprint
	Sequence    uint64
	// LastSeen is when the announcement was received, by this host's clock.
	LastSeen time.Time
}

// fingerprint returns the fingerprint of the entry; zero if the target is not ready, since no
// renewal may revive one that leaves.
func (e *Entry) fingerprint() Fingerprint {
	if e.State != Ready {
		return 0
	}
	digest := xxhash.New()
	var number [8]byte
	writeNumber := func(value uint64) {
		binary.LittleEndian.PutUint64(number[:], value)
		// A digest returns no errors.
		_, _ = digest.Write(number[:])
	}
	// The length separates a text from the next one.
	writeText := func(text string) {
		writeNumber(uint64(len(text)))
		_, _ = digest.WriteString(text)
	}
	for _, text := range [...]string{e.Name, e.Address, e.FailureDomain, string(e.Kind), e.Service, e.Model, e.Version, string(e.Role)} {
		writeText(text)
	}
	for _, adapter := range e.Adapters {
		writeText(adapter)
	}
	var flags uint64
	for i, flag := range [...]bool{e.Cold, e.ChecksFencingToken, e.SupportsResume, e.SupportsCacheTransfer} {
		if flag {
			flags |= 1 << i
		}
	}
	for _, value := range [...]uint64{uint64(len(e.Adapters)), e.Incarnation, uint64(e.Capacity), uint64(e.CacheCapacityChats), flags} {
		writeNumber(value)
	}
	return Fingerprint(digest.Sum64())
}

// isRenewable reports whether a renewal tells all that is known of the target.
func (r *record) isRenewable() bool {
	return r.fingerprint != 0 && r.WarmUpRemaining <= 0 && !r.Silent && r.RateLimit.SaidAt.IsZero()
}

// Renewal returns the renewal of a target. renewable is false for a target that is unknown or not
// ready, or of which more is known than a renewal tells: its warm-up, its silence or its rate
// limit.
func (t *Table) Renewal(name string) (renewal Renewal, renewable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.byName[name]
	if current == nil || !current.isRenewable() {
		return Renewal{}, false
	}
	return Renewal{Fingerprint: current.fingerprint, Sequence: current.Sequence, LastSeen: current.LastSeen}, true
}

// Renew merges a renewal as if it were the entry that the sender has. known is false if the table
// has no entry with the fingerprint: the sender must send it. changed is set if the target
// was silent or warming up.
func (t *Table) Renew(now time.Time, renewal Renewal) (entry Entry, known, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.byFingerprint[renewal.Fingerprint]
	if current == nil {
		return Entry{}, false, false
	}
	if current.WarmUpRemaining <= 0 && !current.Silent {
		if renewal.Sequence > current.Sequence {
			current.Sequence, current.LastSeen = renewal.Sequence, renewal.LastSeen
		}
		return current.Entry, true, false
	}
	entry = current.Entry
	entry.Sequence, entry.LastSeen = renewal.Sequence, renewal.LastSeen
	entry.WarmUpRemaining, entry.Silent = 0, false
	changed = t.merge(now, entry)
	return t.byName[entry.Name].Entry, true, changed
}

// PendingChanges returns the number of entries that changed after the version, and whether one of
// them is urgent: its target may not get what it got before.
func (t *Table) PendingChanges(version uint64) (count int, urgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, current := range t.changedSince(version) {
		if !current.isReplaced {
			count++
			urgent = urgent || current.State != Ready || current.WarmUpRemaining > 0 || !current.RateLimit.SaidAt.IsZero()
		}
	}
	return count, urgent
}

// HasLeftSince reports whether a target has said that it is leaving, or is gone, since a version.
func (t *Table) HasLeftSince(version uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, current := range t.changedSince(version) {
		if !current.isReplaced && current.State != Ready {
			return true
		}
	}
	return false
}

// WithFingerprints returns the entries with the fingerprints that the table has.
func (t *Table) WithFingerprints(wanted []Fingerprint) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []Entry
	for _, fingerprint := range wanted {
		if current := t.byFingerprint[fingerprint]; current != nil {
			entries = append(entries, current.Entry)
		}
	}
	return entries
}

// index replaces the fingerprint of a record, of which it is nil if the record is removed. The
// caller must hold t.mu.
func (t *Table) index(former, current *record) {
	if former != nil && t.byFingerprint[former.fingerprint] == former {
		delete(t.byFingerprint, former.fingerprint)
	}
	if current == nil {
		return
	}
	if current.fingerprint = current.Entry.fingerprint(); current.fingerprint != 0 {
		t.byFingerprint[current.fingerprint] = current
	}
}
