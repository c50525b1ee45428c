package origin

import (
	"sync"
	"time"
)

const (
	// expirySpan is the span of time whose records expire together.
	expirySpan = time.Second
	// maxInterned is the maximum number of versions whose records share a string.
	maxInterned = 256
)

// Table holds the records of streams. It is safe for concurrent use.
type Table struct {
	maxRecords int

	mu       sync.Mutex
	byKey    map[Key]Record
	versions map[string]string
	// expiring holds the keys by the span in which they expire. A key whose expiry was
	// put off is in several spans. firstSpan is the earliest one that may have keys.
	expiring  map[int64][]Key
	firstSpan int64
	// added is closed and replaced when records are added.
	added chan struct{}
}

// NewTable returns an empty table of at most maxRecords records. Beyond that, those that
// expire first are dropped.
func NewTable(maxRecords int) *Table {
	return &Table{maxRecords: maxRecords, byKey: map[Key]Record{}, versions: map[string]string{}, expiring: map[int64][]Key{}, added: make(chan struct{})}
}

// Add adds records and returns those that were not known. The version that began a stream
// never changes, so that the first record of a key stays; a later one may put off its expiry.
func (t *Table) Add(now time.Time, records ...Record) (unknown []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	for _, record := range records {
		if !record.Until.After(now) {
			continue
		}
		known, found := t.byKey[record.Key]
		found = found && known.Until.After(now)
		if found && !record.Until.After(known.Until) {
			continue
		}
		if found {
			record.Version = known.Version
		} else {
			record.Version = t.intern(record.Version)
			unknown = append(unknown, record)
		}
		t.byKey[record.Key] = record
		span := spanOf(record.Until)
		t.expiring[span] = append(t.expiring[span], record.Key)
		if len(t.expiring) == 1 || span < t.firstSpan {
			t.firstSpan = span
		}
	}
	for len(t.byKey) > t.maxRecords {
		t.dropFirstSpan()
	}
	if len(unknown) > 0 {
		close(t.added)
		t.added = make(chan struct{})
	}
	return unknown
}

// Find returns the version that began a stream.
func (t *Table) Find(now time.Time, key Key) (version string, found bool) {
	version, found, _ = t.FindOrWait(now, key)
	return version, found
}

// FindOrWait returns the version that began a stream, and a channel that is closed when
// other records are added.
func (t *Table) FindOrWait(now time.Time, key Key) (version string, found bool, added <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record, found := t.byKey[key]
	if !found || !record.Until.After(now) {
		return "", false, t.added
	}
	return record.Version, true, t.added
}

// All returns the records that have not expired.
func (t *Table) All(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	records := make([]Record, 0, len(t.byKey))
	for _, record := range t.byKey {
		if record.Until.After(now) {
			records = append(records, record)
		}
	}
	return records
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byKey)
}

// intern returns the version as a string that equal versions share.
func (t *Table) intern(version string) string {
	if known, found := t.versions[version]; found {
		return known
	}
	if len(t.versions) >= maxInterned {
		clear(t.versions)
	}
	t.versions[version] = version
	return version
}

func spanOf(at time.Time) int64 { return at.UnixNano() / int64(expirySpan) }

// dropExpired drops the records that expired before the span of now. The caller must hold
// t.mu.
func (t *Table) dropExpired(now time.Time) {
	for len(t.expiring) > 0 && t.firstSpan < spanOf(now) {
		t.dropFirstSpan()
	}
}

// dropFirstSpan drops the records of the first span, but for those whose expiry was put off.
// The caller must hold t.mu.
func (t *Table) dropFirstSpan() {
	for _, key := range t.expiring[t.firstSpan] {
		if spanOf(t.byKey[key].Until) == t.firstSpan {
			delete(t.byKey, key)
		}
	}
	delete(t.expiring, t.firstSpan)
	t.firstSpan = t.nextSpan()
}

// nextSpan returns the earliest span with keys. The caller must hold t.mu.
func (t *Table) nextSpan() int64 {
	first, isFirst := int64(0), true
	for span := range t.expiring {
		if isFirst || span < first {
			first, isFirst = span, false
		}
	}
	return first
}
