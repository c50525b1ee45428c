package quorum

import "slices"

// memberSet is a membership with the index of the entry that set it.
type memberSet struct {
	index   uint64
	members []Member
}

// entryLog holds the entries after a base index in memory, and how far they are
// durable, committed and applied.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	stable    uint64
	committed uint64
	applied   uint64
	snapshot  Snapshot
	// sets are the memberships in force at the base and after it; the last one
	// counts, committed or not.
	sets []memberSet
}

// newEntryLog returns the log that a storage held.
func newEntryLog(snapshot Snapshot, entries []Entry, commit uint64) *entryLog {
	l := &entryLog{}
	l.restore(snapshot)
	for _, e := range entries {
		if e.Index == l.lastIndex()+1 {
			l.push(e)
		}
	}
	l.stable = l.lastIndex()
	l.committed = max(snapshot.Index, min(commit, l.lastIndex()))
	return l
}

// restore replaces everything by a snapshot.
func (l *entryLog) restore(snapshot Snapshot) {
	l.baseIndex, l.baseTerm = snapshot.Index, snapshot.Term
	l.entries = nil
	l.stable, l.committed, l.applied = snapshot.Index, snapshot.Index, snapshot.Index
	l.snapshot = snapshot
	l.sets = []memberSet{{index: snapshot.Index, members: snapshot.Members}}
}

func (l *entryLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at the index; false if the log does not
// hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// matches tells whether the log agrees with a leader's up to the index.
func (l *entryLog) matches(index, term uint64) bool {
	if index <= l.committed {
		return true
	}
	own, ok := l.term(index)
	return ok && own == term
}

// between returns the entries after from, up to and with to, of at most the
// given bytes but for a first larger one.
func (l *entryLog) between(from, to uint64, maxBytes int) []Entry {
	to = min(to, l.lastIndex())
	if from >= to {
		return nil
	}
	part := l.entries[from-l.baseIndex : to-l.baseIndex]
	size := 0
	for i := range part {
		size += entrySize(&part[i])
		if size > maxBytes && i > 0 {
			return part[:i:i]
		}
	}
	return slices.Clip(part)
}

// push adds one entry at the end.
func (l *entryLog) push(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind != EntryMembers {
		return
	}
	if members, err := DecodeMembers(e.Data); err == nil {
		l.sets = append(l.sets, memberSet{index: e.Index, members: members})
	}
}

// extend adds a leader's entries, replacing those that conflict.
func (l *entryLog) extend(entries []Entry) {
	for _, e := range entries {
		if e.Index <= l.committed {
			continue
		}
		if term, ok := l.term(e.Index); ok && term == e.Term {
			continue
		}
		l.truncate(e.Index)
		l.push(e)
	}
}

// truncate drops the entries from the index on.
func (l *entryLog) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	keep := index - l.baseIndex - 1
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
	for len(l.sets) > 1 && l.sets[len(l.sets)-1].index >= index {
		l.sets = l.sets[:len(l.sets)-1]
	}
}

// saved takes in that the entries are durable. Those that were replaced since
// they were handed out do not count.
func (l *entryLog) saved(entries []Entry) {
	for i := len(entries) - 1; i >= 0; i-- {
		e := &entries[i]
		if term, ok := l.term(e.Index); ok && term == e.Term {
			l.stable = max(l.stable, e.Index)
			return
		}
	}
}

// members is the membership in force.
func (l *entryLog) members() []Member {
	return l.sets[len(l.sets)-1].members
}

// membersPending tells whether the last membership change is uncommitted.
func (l *entryLog) membersPending() bool {
	return l.sets[len(l.sets)-1].index > l.committed
}

// membersBefore is the membership that the last change replaced, if the log still
// knows it.
func (l *entryLog) membersBefore() []Member {
	if len(l.sets) < 2 {
		return nil
	}
	return l.sets[len(l.sets)-2].members
}

// membersAt is the membership that the entries up to the index set.
func (l *entryLog) membersAt(index uint64) []Member {
	for i := len(l.sets) - 1; i > 0; i-- {
		if l.sets[i].index <= index {
			return l.sets[i].members
		}
	}
	return l.sets[0].members
}

// compact takes a snapshot of the log's own state and drops the entries that
// are more than keep behind it.
func (l *entryLog) compact(snapshot Snapshot, keep uint64) {
	l.snapshot = snapshot
	if snapshot.Index <= l.baseIndex+keep {
		return
	}
	base := snapshot.Index - keep
	term, ok := l.term(base)
	if !ok {
		return
	}
	members := l.membersAt(base)
	later := slices.DeleteFunc(slices.Clone(l.sets), func(s memberSet) bool { return s.index <= base })
	l.sets = append([]memberSet{{index: base, members: members}}, later...)
	l.entries = slices.Clone(l.entries[base-l.baseIndex:])
	l.baseIndex, l.baseTerm = base, term
}

// conflict returns where a leader should look for agreement: the term of the
// entry at the index and the first index of that term, or the end of the log.
func (l *entryLog) conflict(index uint64) (hint, hintTerm uint64) {
	term, ok := l.term(index)
	if !ok {
		return l.lastIndex() + 1, 0
	}
	first := index
	for first > l.committed+1 {
		before, known := l.term(first - 1)
		if !known || before != term {
			break
		}
		first--
	}
	return first, term
}

// lastOfTerm returns the last index up to the limit whose entry is of the term.
func (l *entryLog) lastOfTerm(term, limit uint64) (uint64, bool) {
	for index := min(limit, l.lastIndex()); index > l.baseIndex; index-- {
		own, _ := l.term(index)
		if own == term {
			return index, true
		}
		if own < term {
			return 0, false
		}
	}
	return 0, false
}

// entrySize is the entry's share of a message in bytes.
func entrySize(e *Entry) int {
	const overhead = 24
	return len(e.Data) + overhead
}
