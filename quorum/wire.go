package quorum

import (
	"github.com/go-faster/errors"

	"comfreytiller.dev/quorum/quorumpb"
)

// validate returns ErrCorrupt unless the message is one that a replica could have
// sent.
func (m *Message) validate() error {
	if m.Kind < MessageAppend || m.Kind > MessageReadIndexResponse {
		return errors.Wrapf(ErrCorrupt, "unknown message kind %d", m.Kind)
	}
	if m.From == "" || m.To == "" || m.Cluster == "" {
		return errors.Wrap(ErrCorrupt, "message without sender, receiver or cluster")
	}
	if len(m.Entries) > 0 && m.Kind != MessageAppend {
		return errors.Wrapf(ErrCorrupt, "unexpected entries in message of kind %d", m.Kind)
	}
	if (m.Chunk != nil) != (m.Kind == MessageSnapshot || m.Kind == MessageSnapshotResponse) {
		return errors.Wrapf(ErrCorrupt, "missing or unexpected chunk in message of kind %d", m.Kind)
	}
	if m.Kind == MessageSnapshot {
		if err := m.Chunk.validate(); err != nil {
			return err
		}
	}
	return validateEntries(m.Index, m.LogTerm, m.Term, m.Entries)
}

// validate returns ErrCorrupt unless the chunk lies within its snapshot.
func (c *Chunk) validate() error {
	if c.Index == 0 || c.Term == 0 || voterCount(c.Members) == 0 {
		return errors.Wrap(ErrCorrupt, "chunk without an index or voters")
	}
	if c.Offset > c.Total || uint64(len(c.Data)) > c.Total-c.Offset {
		return errors.Wrap(ErrCorrupt, "chunk exceeds the snapshot size")
	}
	return nil
}

// validateEntries returns ErrCorrupt unless the entries follow the index without a
// gap and their terms neither decrease nor exceed the limit.
func validateEntries(index, term, limit uint64, entries []Entry) error {
	for i := range entries {
		e := &entries[i]
		if e.Index != index+1 || e.Term < term || e.Term > limit {
			return errors.Wrapf(ErrCorrupt, "entry %d of term %d must not follow entry %d of term %d", e.Index, e.Term, index, term)
		}
		if err := e.validate(); err != nil {
			return err
		}
		index, term = e.Index, e.Term
	}
	return nil
}

// validate returns ErrCorrupt unless the entry is one that a leader could have
// written.
func (e *Entry) validate() error {
	if e.Index == 0 || e.Term == 0 || e.Kind > EntryMembers {
		return errors.Wrapf(ErrCorrupt, "invalid entry %d of term %d and kind %d", e.Index, e.Term, e.Kind)
	}
	if e.Kind != EntryMembers {
		return nil
	}
	_, err := DecodeMembers(e.Data)
	return err
}

func entryToWire(e *Entry) *quorumpb.Entry {
	return &quorumpb.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
}

func entryFromWire(w *quorumpb.Entry) (Entry, error) {
	if w.Kind > uint32(EntryMembers) {
		return Entry{}, errors.Wrapf(ErrCorrupt, "unknown entry kind %d", w.Kind)
	}
	e := Entry{Index: w.Index, Term: w.Term, Kind: EntryKind(w.Kind), Data: w.Data}
	return e, e.validate()
}

func membersToWire(members []Member) []*quorumpb.Member {
	wire := make([]*quorumpb.Member, len(members))
	for i, m := range members {
		wire[i] = &quorumpb.Member{Id: m.ID, Host: m.Host, Address: m.Address, Voter: m.Voter}
	}
	return wire
}

func membersFromWire(wire []*quorumpb.Member) ([]Member, error) {
	members := make([]Member, 0, len(wire))
	for _, w := range wire {
		if w.Id == "" || findMember(members, w.Id) >= 0 {
			return nil, errors.Wrapf(ErrCorrupt, "empty or duplicate member ID %q", w.Id)
		}
		members = append(members, Member{ID: w.Id, Host: w.Host, Address: w.Address, Voter: w.Voter})
	}
	if voterCount(members) == 0 {
		return nil, errors.Wrap(ErrCorrupt, "membership without a voter")
	}
	return members, nil
}

func chunkToWire(c *Chunk) *quorumpb.Chunk {
	if c == nil {
		return nil
	}
	return &quorumpb.Chunk{
		Index: c.Index, Term: c.Term, Members: membersToWire(c.Members),
		Total: c.Total, Checksum: c.Checksum, Offset: c.Offset, Data: c.Data,
	}
}

func chunkFromWire(w *quorumpb.Chunk) *Chunk {
	if w == nil {
		return nil
	}
	members, err := membersFromWire(w.Members)
	if err != nil {
		members = nil
	}
	return &Chunk{
		Index: w.Index, Term: w.Term, Members: members,
		Total: w.Total, Checksum: w.Checksum, Offset: w.Offset, Data: w.Data,
	}
}

func messageToWire(m *Message) *quorumpb.Message {
	w := &quorumpb.Message{
		Kind: uint32(m.Kind), Cluster: m.Cluster, From: m.From, To: m.To, Term: m.Term,
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit, Round: m.Round, Lost: m.Lost,
		Reject: m.Reject, Hint: m.Hint, HintTerm: m.HintTerm, Transfer: m.Transfer,
		ReadId: m.ReadID, FromAddress: m.FromAddress, Chunk: chunkToWire(m.Chunk),
	}
	for i := range m.Entries {
		w.Entries = append(w.Entries, entryToWire(&m.Entries[i]))
	}
	return w
}

func messageFromWire(w *quorumpb.Message) Message {
	m := Message{
		Cluster: w.Cluster, From: w.From, To: w.To, Term: w.Term,
		Index: w.Index, LogTerm: w.LogTerm, Commit: w.Commit, Round: w.Round, Lost: w.Lost,
		Reject: w.Reject, Hint: w.Hint, HintTerm: w.HintTerm, Transfer: w.Transfer,
		ReadID: w.ReadId, FromAddress: w.FromAddress, Chunk: chunkFromWire(w.Chunk),
	}
	if w.Kind <= uint32(MessageReadIndexResponse) {
		m.Kind = MessageKind(w.Kind)
	}
	for _, e := range w.Entries {
		m.Entries = append(m.Entries, Entry{Index: e.Index, Term: e.Term, Kind: entryKind(e.Kind), Data: e.Data})
	}
	return m
}

// entryKind maps an unknown kind to one that validate rejects.
func entryKind(kind uint32) EntryKind {
	return EntryKind(min(kind, uint32(EntryMembers)+1))
}
