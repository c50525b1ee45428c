package roster

// summaryBuckets is the number of parts of a summary. A summary takes 512 bytes, and one
// different target of 3,000 has 47 entries sent.
const summaryBuckets = 64

// Summary describes the entries of a table so that another table can tell which parts differ.
// It has summaryBuckets numbers; each combines the fingerprints of a part of the targets. Only
// targets of which a Renewal tells all are part of it.
//
// Load: hosts whose hub is lost or slow go to another one. Sent the whole roster, 90 KB for
// 3,000 targets, they filled the link of that hub, and went on to the next one.
type Summary []Fingerprint

// bucket returns the part of a summary to which a target belongs.
func (f Fingerprint) bucket() int { return int(f % summaryBuckets) }

// Summary returns the summary of the table.
func (t *Table) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.summary()
}

// summary is Summary for a caller that holds t.mu.
func (t *Table) summary() Summary {
	summary := make(Summary, summaryBuckets)
	for _, current := range t.byName {
		if current.isRenewable() {
			summary[current.fingerprint.bucket()] ^= current.fingerprint
		}
	}
	return summary
}

// MissingFrom returns the entries that a table with the summary may lack, in the order of their
// last changes, and the current version: those that are not part of summaries, and all of each
// part that differs. few is false, and there are no entries, if these are more than half of the
// table, or if the summary is not one of this release.
func (t *Table) MissingFrom(summary Summary) (entries []Entry, version uint64, few bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.summary()
	if len(summary) != len(own) {
		return nil, t.version, false
	}
	var missing []*record
	for _, current := range t.history {
		bucket := current.fingerprint.bucket()
		if !current.isReplaced && (!current.isRenewable() || summary[bucket] != own[bucket]) {
			missing = append(missing, current)
		}
	}
	if len(missing) > len(t.byName)/2 {
		return nil, t.version, false
	}
	for _, current := range missing {
		entries = append(entries, current.Entry)
	}
	return entries, t.version, true
}
