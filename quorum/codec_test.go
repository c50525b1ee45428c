package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawEntries draws entries that follow the index without a gap, of terms up to
// the limit.
func drawEntries(t *rapid.T, index, term, limit uint64) []Entry {
	var entries []Entry
	for range rapid.IntRange(0, 4).Draw(t, "entries") {
		index++
		term = rapid.Uint64Range(max(term, 1), limit).Draw(t, "entry term")
		e := Entry{Index: index, Term: term, Kind: EntryKind(rapid.IntRange(0, 2).Draw(t, "kind"))}
		if e.Kind == EntryMembers {
			e.Data = EncodeMembers(drawMembers(t))
		} else if data := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "data"); len(data) > 0 {
			e.Data = data
		}
		entries = append(entries, e)
	}
	return entries
}

func drawMembers(t *rapid.T) []Member {
	ids := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,4}"), 1, 4, rapid.ID[string]).Draw(t, "ids")
	members := make([]Member, len(ids))
	for i, id := range ids {
		members[i] = Member{ID: id, Host: "h" + id, Address: id + ":1", Voter: i == 0 || rapid.Bool().Draw(t, "voter")}
	}
	return members
}

func drawMessage(t *rapid.T) Message {
	m := Message{
		Kind:    MessageKind(rapid.IntRange(int(MessageAppend), int(MessageReadResponse)).Draw(t, "kind")),
		Cluster: "c", From: "a", To: "b",
		Term:        rapid.Uint64Range(5, 1<<60).Draw(t, "term"),
		Index:       rapid.Uint64Range(0, 1<<60).Draw(t, "index"),
		LogTerm:     rapid.Uint64Range(0, 5).Draw(t, "log term"),
		Commit:      rapid.Uint64().Draw(t, "commit"),
		Round:       rapid.Uint64().Draw(t, "round"),
		Reject:      rapid.Bool().Draw(t, "reject"),
		Hint:        rapid.Uint64().Draw(t, "hint"),
		HintTerm:    rapid.Uint64().Draw(t, "hint term"),
		Transfer:    rapid.Bool().Draw(t, "transfer"),
		ReadID:      rapid.Uint64().Draw(t, "read"),
		FromAddress: rapid.StringMatching("[a-z:]{0,6}").Draw(t, "address"),
	}
	switch m.Kind {
	case MessageAppend:
		m.Entries = drawEntries(t, m.Index, m.LogTerm, m.Term)
	case MessageSnapshot:
		data := rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "chunk")
		m.Chunk = &Chunk{Index: 9, Term: 2, Members: drawMembers(t), Total: 30, Offset: 4, Data: data, Checksum: 7}
	case MessageSnapshotResponse:
		m.Chunk = &Chunk{Index: 9, Offset: 4, Checksum: 7}
	}
	return m
}

func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := []Message{drawMessage(t), drawMessage(t)}
		decoded, err := DecodeMessages(EncodeMessages(messages))
		require.NoError(t, err)
		require.Equal(t, messages, decoded)
	})
}
