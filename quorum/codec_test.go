package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawEntries draws entries that follow the index without a gap, with terms up
// to the limit.
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
		Kind:    MessageKind(rapid.IntRange(int(MessageAppend), int(MessageReadIndexResponse)).Draw(t, "kind")),
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

// fuzzDecoder checks that decoded input survives a round trip.
func fuzzDecoder[T any](f *testing.F, decode func([]byte) (T, error), encode func(T) []byte, seeds ...T) {
	for _, seed := range seeds {
		data := encode(seed)
		f.Add(data)
		f.Add(data[:len(data)/2])
		f.Add(append([]byte{0xff}, data...))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		value, err := decode(data)
		if err != nil {
			require.ErrorIs(t, err, ErrCorrupt)
			return
		}
		again, err := decode(encode(value))
		require.NoError(t, err)
		require.Equal(t, encode(value), encode(again))
	})
}

var twoMembers = []Member{{ID: "a", Host: "h1", Address: "1.2.3.4:5", Voter: true}, {ID: "b", Host: "h2"}}

func FuzzDecodeMessages(f *testing.F) {
	fuzzDecoder(f, DecodeMessages, EncodeMessages,
		[]Message{{
			Kind: MessageAppend, Cluster: "c", From: "a", To: "b", Term: 3, Index: 1, LogTerm: 1,
			Entries: []Entry{{Index: 2, Term: 2, Data: []byte("x")}, {Index: 3, Term: 3, Kind: EntryMembers, Data: EncodeMembers(twoMembers)}},
		}},
		[]Message{{
			Kind: MessageSnapshot, Cluster: "c", From: "a", To: "b", Term: 3,
			Chunk: &Chunk{Index: 7, Term: 2, Members: twoMembers, Total: 5, Offset: 2, Data: []byte("abc")},
		}},
		[]Message{{Kind: MessageVote, Cluster: "c", From: "a", To: "b", Term: 3}, {Kind: MessageReadIndexResponse, Cluster: "c", From: "a", To: "b", ReadID: 9}},
	)
}

func FuzzDecodeEntry(f *testing.F) {
	fuzzDecoder(f, DecodeEntry, EncodeEntry,
		Entry{Index: 1, Term: 1, Data: []byte("x")}, Entry{Index: 2, Term: 1, Kind: EntryMembers, Data: EncodeMembers(twoMembers)})
}

func FuzzDecodeHardState(f *testing.F) {
	fuzzDecoder(f, DecodeHardState, EncodeHardState, HardState{Cluster: "c", ID: "a", Host: "h", Term: 5, Vote: "b", Commit: 4})
}

func FuzzDecodeSnapshot(f *testing.F) {
	fuzzDecoder(f, DecodeSnapshot, EncodeSnapshot, Snapshot{Index: 3, Term: 2, Members: twoMembers, Data: []byte("state")})
}

func FuzzDecodeMembers(f *testing.F) {
	fuzzDecoder(f, DecodeMembers, EncodeMembers, twoMembers)
}

func TestDecodeMessagesRejectsInvalid(t *testing.T) {
	good := Message{Kind: MessageAppend, Cluster: "c", From: "a", To: "b", Term: 3, Index: 1, LogTerm: 1}
	for name, corrupt := range map[string]func(*Message){
		"no kind":             func(m *Message) { m.Kind = 0 },
		"unknown kind":        func(m *Message) { m.Kind = 99 },
		"no sender":           func(m *Message) { m.From = "" },
		"no cluster":          func(m *Message) { m.Cluster = "" },
		"gap":                 func(m *Message) { m.Entries = makeEntries(1, 3) },
		"newer than its term": func(m *Message) { m.Entries = makeEntries(4, 2) },
		"falling term":        func(m *Message) { m.Entries = append(makeEntries(2, 2), makeEntries(1, 3)...) },
		"unknown entry":       func(m *Message) { m.Entries = []Entry{{Index: 2, Term: 1, Kind: 9}} },
		"broken members":      func(m *Message) { m.Entries = []Entry{{Index: 2, Term: 1, Kind: EntryMembers, Data: []byte{1}}} },
		"stray chunk":         func(m *Message) { m.Chunk = &Chunk{} },
		"chunk without data":  func(m *Message) { m.Kind = MessageSnapshot },
		"chunk beyond end": func(m *Message) {
			m.Kind = MessageSnapshot
			m.Chunk = &Chunk{Index: 1, Term: 1, Members: twoMembers, Total: 2, Offset: 1, Data: []byte("ab")}
		},
		"entries in a vote": func(m *Message) { m.Kind, m.Entries = MessageVote, makeEntries(1, 2) },
	} {
		bad := good
		corrupt(&bad)
		_, err := DecodeMessages(EncodeMessages([]Message{bad}))
		require.ErrorIs(t, err, ErrCorrupt, name)
	}
	_, err := DecodeMessages(EncodeMessages([]Message{good}))
	require.NoError(t, err)
}
