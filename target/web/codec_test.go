package web

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"comfreytiller.dev/target"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawStamp(t *rapid.T) target.Stamp {
	return target.Stamp{Incarnation: rapid.Uint64Min(1).Draw(t, "incarnation"), Sequence: rapid.Uint64().Draw(t, "sequence")}
}

func drawAnnouncement(t *rapid.T) target.Announcement {
	text := rapid.StringMatching(`[a-zA-Z0-9 é"\\-]{0,20}`)
	return target.Announcement{
		Name: "n" + text.Draw(t, "name"), Stamp: drawStamp(t), Address: "10.0.0.1:9000",
		FailureDomain: text.Draw(t, "domain"), Kind: rapid.SampledFrom([]target.Kind{target.KindModel, target.KindPlain}).Draw(t, "kind"),
		Service: text.Draw(t, "service"), Model: text.Draw(t, "model"), Version: text.Draw(t, "version"),
		Adapters: rapid.SliceOfN(text, 1, 3).Draw(t, "adapters"),
		Role:     rapid.SampledFrom([]target.Role{"", target.RoleMixed, target.RoleDecode, target.RolePrefill}).Draw(t, "role"),
		Capacity: rapid.IntRange(0, 1000).Draw(t, "capacity"), CacheCapacityChats: rapid.IntRange(0, 1000).Draw(t, "chats"),
		Cold: rapid.Bool().Draw(t, "cold"), ChecksFencingToken: rapid.Bool().Draw(t, "fence"),
		SupportsResume: rapid.Bool().Draw(t, "resumes"), SupportsCacheTransfer: rapid.Bool().Draw(t, "moves"),
	}
}

func TestMessages_RoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		announcement := drawAnnouncement(t)
		data, err := EncodeAnnouncement(announcement)
		require.NoError(t, err)
		readBack, err := DecodeAnnouncement(data)
		require.NoError(t, err)
		require.Equal(t, announcement, readBack)

		load := target.LoadReport{
			Name: announcement.Name, Stamp: drawStamp(t), InFlight: rapid.IntRange(0, 99).Draw(t, "inflight"),
			Queued: rapid.IntRange(0, 99).Draw(t, "queued"), CacheUsed: rapid.Float64Range(0, 1).Draw(t, "used"), Cold: rapid.Bool().Draw(t, "cold"),
		}
		data, err = EncodeLoadReport(load)
		require.NoError(t, err)
		loadBack, err := DecodeLoadReport(data)
		require.NoError(t, err)
		require.Equal(t, load, loadBack)

		event := target.CacheEvent{Name: announcement.Name, Stamp: drawStamp(t), Change: target.CacheStored, Chats: announcement.Adapters}
		data, err = EncodeCacheEvent(event)
		require.NoError(t, err)
		eventBack, err := DecodeCacheEvent(data)
		require.NoError(t, err)
		require.Equal(t, event, eventBack)

		leave := target.Leave{Name: announcement.Name, Stamp: drawStamp(t)}
		data, err = EncodeLeave(leave)
		require.NoError(t, err)
		leaveBack, err := DecodeLeave(data)
		require.NoError(t, err)
		require.Equal(t, leave, leaveBack)

		order := target.Order{
			ID: "o" + announcement.Model, FencingToken: rapid.Uint64().Draw(t, "fence"), Kind: target.OrderLoadModel,
			Service: announcement.Service, Model: announcement.Model, Version: announcement.Version,
			Adapters: announcement.Adapters, Role: announcement.Role,
		}
		data, err = EncodeOrder(order)
		require.NoError(t, err)
		orderBack, err := DecodeOrder(data)
		require.NoError(t, err)
		require.Equal(t, order, orderBack)
	})
}

func TestDecode_ErrorNamesInvalidField(t *testing.T) {
	cases := []struct{ body, field string }{
		{`{`, "announcement"},
		{`{"Incarnation":1,"Address":"10.0.0.1:1","Kind":"Model"}`, "Name"},
		{`{"Name":"e","Address":"10.0.0.1:1","Kind":"Model"}`, "Incarnation"},
		{`{"Name":"e","Incarnation":1,"Address":"engine:1","Kind":"Model"}`, "Address"},
		{`{"Name":"e","Incarnation":1,"Address":"10.0.0.1:0","Kind":"Model"}`, "Address"},
		{`{"Name":"e","Incarnation":1,"Address":"10.0.0.1:1","Kind":"Engine"}`, "Kind"},
		{`{"Name":"e","Incarnation":1,"Address":"10.0.0.1:1","Kind":"Model","Role":"Both"}`, "Role"},
		{`{"Name":"e","Incarnation":1,"Address":"10.0.0.1:1","Kind":"Model","Capacity":-1}`, "Capacity"},
		{`{"Name":"e","Incarnation":1,"Address":"10.0.0.1:1","Kind":"Model","Capacity":"8"}`, "Capacity"},
	}
	for _, test := range cases {
		_, err := DecodeAnnouncement([]byte(test.body))
		require.ErrorIs(t, err, ErrInvalidMessage)
		require.ErrorContains(t, err, test.field)
	}
	_, err := DecodeLoadReport([]byte(`{"Name":"e","Incarnation":1,"CacheUsed":2}`))
	require.ErrorContains(t, err, "CacheUsed")
	_, err = DecodeCacheEvent([]byte(`{"Name":"e","Incarnation":1,"Change":"Stored"}`))
	require.ErrorContains(t, err, "Chats")
	_, err = DecodeOrder([]byte(`{"ID":"o","Kind":"Explode"}`))
	require.ErrorContains(t, err, "Kind")
}

func TestEventReader_RoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.StringMatching(`[a-z]{1,8}`)
		data := rapid.StringMatching(`[^\r]{0,900}`)
		var wire []byte
		var want [][2]string
		for i := range rapid.IntRange(0, 5).Draw(t, "events") {
			name, text := names.Draw(t, "name"), data.Draw(t, "data")
			want = append(want, [2]string{name, text})
			wire = AppendEvent(wire, EventID("r/1", i), name, []byte(text))
		}
		reader := NewEventReader(bufio.NewReaderSize(bytes.NewReader(wire), 16))
		for i, event := range want {
			raw, err := reader.Next()
			require.NoError(t, err)
			require.Equal(t, event[0], string(raw.Name))
			require.Equal(t, event[1], string(raw.Data))
			offset, err := parseEventID(raw.ID, "r/1")
			require.NoError(t, err)
			require.Equal(t, i, offset)
		}
		_, err := reader.Next()
		require.ErrorIs(t, err, io.EOF)
	})
}

func TestEventReader_TruncatedEventIsUnexpectedEOF(t *testing.T) {
	wire := AppendEvent(nil, EventID("r", 0), "token", []byte(`{"Text":"a"}`))
	for cut := 1; cut < len(wire); cut++ {
		reader := NewEventReader(bufio.NewReader(bytes.NewReader(wire[:cut])))
		_, err := reader.Next()
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "cut at %d", cut)
	}
}

// FuzzEventReader checks that the reader terminates for any input, and that ID and
// data of the events it returns are the same after encoding and reading them again.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: r/0\nevent: token\ndata: {}\n\n"))
	f.Add([]byte("data: a\r\ndata: b\r\n\r\n:comment\n\n"))
	f.Add([]byte("id\nevent\ndata\n\n"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		reader := NewEventReader(bufio.NewReaderSize(bytes.NewReader(wire), 16))
		for {
			raw, err := reader.Next()
			if err != nil {
				return
			}
			encoded := AppendEvent(nil, string(raw.ID), string(raw.Name), raw.Data)
			readBack, err := NewEventReader(bufio.NewReader(bytes.NewReader(encoded))).Next()
			require.NoError(t, err)
			require.Equal(t, string(raw.Data), string(readBack.Data))
			require.Equal(t, string(raw.ID), string(readBack.ID))
		}
	})
}

// FuzzDecode checks that every decoder either rejects its input with
// ErrInvalidMessage or returns a message that is the same after encoding and
// decoding it again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Name":"e","Incarnation":1,"Sequence":2,"Address":"10.0.0.1:1","Kind":"Model"}`))
	f.Add([]byte(`{"Name":"e","Incarnation":1,"Change":"Stored","Chats":["c"]}`))
	f.Add([]byte(`{"ID":"o","Kind":"LoadModel","State":"Done"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		requireRoundTrip(t, data, DecodeAnnouncement, EncodeAnnouncement)
		requireRoundTrip(t, data, DecodeLoadReport, EncodeLoadReport)
		requireRoundTrip(t, data, DecodeCacheEvent, EncodeCacheEvent)
		requireRoundTrip(t, data, DecodeLeave, EncodeLeave)
		requireRoundTrip(t, data, DecodeOrder, EncodeOrder)
		requireRoundTrip(t, data, DecodeOrderReply, EncodeOrderReply)
	})
}

func requireRoundTrip[M any](t *testing.T, data []byte, decode func([]byte) (M, error), encode func(M) ([]byte, error)) {
	message, err := decode(data)
	if err != nil {
		require.True(t, errors.Is(err, ErrInvalidMessage))
		return
	}
	encoded, err := encode(message)
	require.NoError(t, err)
	readBack, err := decode(encoded)
	require.NoError(t, err)
	require.Equal(t, message, readBack)
}
