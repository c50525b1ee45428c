package quorum

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"comfreytiller.dev/quorum/quorumpb"
)

// marshal encodes a wire type; the wire types have no values that cannot be
// encoded.
func marshal(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(errors.Wrap(err, "encode"))
	}
	return data
}

// unmarshal decodes a wire type and ignores unknown fields.
func unmarshal(data []byte, m proto.Message) error {
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, m); err != nil {
		return errors.Wrap(ErrCorrupt, err.Error())
	}
	return nil
}

// EncodeMessages encodes a batch of messages for the transport.
func EncodeMessages(messages []Message) []byte {
	batch := &quorumpb.Batch{Messages: make([]*quorumpb.Message, len(messages))}
	for i := range messages {
		batch.Messages[i] = messageToWire(&messages[i])
	}
	return marshal(batch)
}

// DecodeMessages decodes a batch of messages and validates each one. It returns
// ErrCorrupt for invalid input.
func DecodeMessages(data []byte) ([]Message, error) {
	var batch quorumpb.Batch
	if err := unmarshal(data, &batch); err != nil {
		return nil, err
	}
	messages := make([]Message, len(batch.Messages))
	for i, wire := range batch.Messages {
		messages[i] = messageFromWire(wire)
		if err := messages[i].validate(); err != nil {
			return nil, errors.Wrapf(err, "message %d", i)
		}
	}
	return messages, nil
}

// EncodeHardState encodes a hard state for the storage.
func EncodeHardState(s HardState) []byte {
	return marshal(&quorumpb.HardState{
		Cluster: s.Cluster, Id: s.ID, Host: s.Host, Term: s.Term, Vote: s.Vote, Commit: s.Commit, CommitTerm: s.CommitTerm,
	})
}

// DecodeHardState decodes a hard state; it returns ErrCorrupt for one without a
// replica ID or host.
func DecodeHardState(data []byte) (HardState, error) {
	var w quorumpb.HardState
	if err := unmarshal(data, &w); err != nil {
		return HardState{}, err
	}
	if w.Id == "" || w.Host == "" {
		return HardState{}, errors.Wrap(ErrCorrupt, "hard state without a replica ID or host")
	}
	return HardState{
		Cluster: w.Cluster, ID: w.Id, Host: w.Host, Term: w.Term, Vote: w.Vote, Commit: w.Commit, CommitTerm: w.CommitTerm,
	}, nil
}

// EncodeEntry encodes an entry for the storage.
func EncodeEntry(e Entry) []byte {
	return marshal(entryToWire(&e))
}

// DecodeEntry decodes an entry; it returns ErrCorrupt for an invalid one.
func DecodeEntry(data []byte) (Entry, error) {
	var w quorumpb.Entry
	if err := unmarshal(data, &w); err != nil {
		return Entry{}, err
	}
	return entryFromWire(&w)
}

// EncodeSnapshot encodes a snapshot including its data.
func EncodeSnapshot(s Snapshot) []byte {
	return marshal(&quorumpb.Snapshot{
		Index: s.Index, Term: s.Term, Members: membersToWire(s.Members), Data: s.Data,
	})
}

// DecodeSnapshot decodes a snapshot; it returns ErrCorrupt for one without an
// index or members.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var w quorumpb.Snapshot
	if err := unmarshal(data, &w); err != nil {
		return Snapshot{}, err
	}
	members, err := membersFromWire(w.Members)
	if err != nil {
		return Snapshot{}, err
	}
	if w.Index == 0 || w.Term == 0 {
		return Snapshot{}, errors.Wrap(ErrCorrupt, "snapshot without an index")
	}
	return Snapshot{Index: w.Index, Term: w.Term, Members: members, Data: w.Data}, nil
}

// EncodeMembers encodes a membership as the data of an EntryMembers entry.
func EncodeMembers(members []Member) []byte {
	return marshal(&quorumpb.Members{Members: membersToWire(members)})
}

// DecodeMembers decodes a membership; it returns ErrCorrupt for one without a
// voter or with a duplicate ID.
func DecodeMembers(data []byte) ([]Member, error) {
	var w quorumpb.Members
	if err := unmarshal(data, &w); err != nil {
		return nil, err
	}
	return membersFromWire(w.Members)
}
