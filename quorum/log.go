package quorum

import "slices"

// memberSet is a membership and the index of the entry that set it.
type memberSet struct {
	index   uint64
	members []Member
}

// entryLog holds the entries after a base index in memory, and the indexes up
// to which they are durable, committed and applied.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	durable   uint64
	committed uint64
	applied   uint64
	snapshot  Snapshot
	// memberSets are the memberships at the base and after it. The last one is
	// in force, committed or not.
	memberSets []memberSet
}

// newEntryLog returns the log with the contents of a storage. The commit index counts only
// if the log has the entry with the commit term, and thus the leader's entries up to it. A
// log that lacks it has lost a part of its last write and may hold entries that this write
// was to replace.
func newEntryLog(snapshot Snapshot, entries []Entry, commit, commitTerm uint64) *entryLog {
	l := &entryLog{}
	l.restore(snapshot)
	for _, e := range entries {
		if e.Index == l.lastIndex()+1 {
			l.appendEntry(e)
		}
	}
	l.durable = l.lastIndex()
	if term, held := l.term(commit); held && term == commitTerm {
		l.committed = max(snapshot.Index, commit)
	}
	return l
}

// restore replaces the complete log with a snapshot.
func (l *entryLog) restore(snapshot Snapshot) {
	l.baseIndex, l.baseTerm = snapshot.Index, snapshot.Term
	l.entries = nil
	l.durable, l.committed, l.applied = snapshot.Index, snapshot.Index, snapshot.Index
	l.snapshot = snapshot
	l.memberSets = []memberSet{{index: snapshot.Index, members: snapshot.Members}}
}

func (l *entryLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at the index, and false if the log does
// not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// matchesTerm reports whether the log agrees with the leader's log up to the
// index.
func (l *entryLog) matchesTerm(index, term uint64) bool {
	if index <= l.committed {
		return true
	}
	own, ok := l.term(index)
	return ok && own == term
}

// entriesBetween returns the entries after from, up to and including to. Their
// total size is at most maxBytes, except that the first entry may be larger.
func (l *entryLog) entriesBetween(from, to uint64, maxBytes int) []Entry {
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

func (l *entryLog) appendEntry(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind != EntryMembers {
		return
	}
	if members, err := DecodeMembers(e.Data); err == nil {
		l.memberSets = append(l.memberSets, memberSet{index: e.Index, members: members})
	}
}

// appendFromLeader appends the leader's entries and replaces entries that
// conflict with them.
func (l *entryLog) appendFromLeader(entries []Entry) {
	for _, e := range entries {
		if e.Index <= l.committed {
			continue
		}
		if term, ok := l.term(e.Index); ok && term == e.Term {
			continue
		}
		l.truncate(e.Index)
		l.appendEntry(e)
	}
}

// truncate drops the entry at the index and all later ones.
func (l *entryLog) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	keep := index - l.baseIndex - 1
	l.entries = l.entries[:keep:keep]
	l.durable = min(l.durable, index-1)
	for len(l.memberSets) > 1 && l.memberSets[len(l.memberSets)-1].index >= index {
		l.memberSets = l.memberSets[:len(l.memberSets)-1]
	}
}

// markDurable records that the entries are durable. Entries that were replaced
// since the write started do not count.
func (l *entryLog) markDurable(entries []Entry) {
	for i := len(entries) - 1; i >= 0; i-- {
		e := &entries[i]
		if term, ok := l.term(e.Index); ok && term == e.Term {
			l.durable = max(l.durable, e.Index)
			return
		}
	}
}

// members returns the latest membership, committed or not.
func (l *entryLog) members() []Member {
	return l.memberSets[len(l.memberSets)-1].members
}

// membershipChangePending reports whether the last membership change is
// uncommitted.
func (l *entryLog) membershipChangePending() bool {
	return l.memberSets[len(l.memberSets)-1].index > l.committed
}

// previousMembers returns the membership before the last change; nil if the log
// no longer holds it.
func (l *entryLog) previousMembers() []Member {
	if len(l.memberSets) < 2 {
		return nil
	}
	return l.memberSets[len(l.memberSets)-2].members
}

// memberSince returns the index from which on a log names the member, without a gap until the
// latest membership; an index after the last one if that doesn't name it.
func (l *entryLog) memberSince(id string) uint64 {
	since := l.lastIndex() + 1
	for _, set := range slices.Backward(l.memberSets) {
		if findMember(set.members, id) < 0 {
			break
		}
		since = set.index
	}
	return since
}

// membersAt returns the membership at the index.
func (l *entryLog) membersAt(index uint64) []Member {
	for i := len(l.memberSets) - 1; i > 0; i-- {
		if l.memberSets[i].index <= index {
			return l.memberSets[i].members
		}
	}
	return l.memberSets[0].members
}

// compact records a snapshot of the state machine and drops the entries up to
// its index, except the last retain of them.
func (l *entryLog) compact(snapshot Snapshot, retain uint64) {
	l.snapshot = snapshot
	if snapshot.Index <= l.baseIndex+retain {
		return
	}
	base := snapshot.Index - retain
	term, ok := l.term(base)
	if !ok {
		return
	}
	members := l.membersAt(base)
	later := slices.DeleteFunc(slices.Clone(l.memberSets), func(s memberSet) bool { return s.index <= base })
	l.memberSets = append([]memberSet{{index: base, members: members}}, later...)
	l.entries = slices.Clone(l.entries[base-l.baseIndex:])
	l.baseIndex, l.baseTerm = base, term
}

// conflictHint returns where the leader should search for a matching index: the
// term of the entry at the index and the first uncommitted index of that term,
// or the end of the log.
func (l *entryLog) conflictHint(index uint64) (hint, hintTerm uint64) {
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

// lastIndexOfTerm returns the last index up to the limit whose entry has the
// term.
func (l *entryLog) lastIndexOfTerm(term, limit uint64) (uint64, bool) {
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

// entrySize returns the approximate size of the entry in a message in bytes.
func entrySize(e *Entry) int {
	const overhead = 24
	return len(e.Data) + overhead
}
