package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/target"
	"comfreytiller.dev/target/roster"
)

// newEntries returns entries of ready targets, as a hub has them.
func newEntries(count int) []roster.Entry {
	random := rand.New(rand.NewPCG(1, 2))
	entries := make([]roster.Entry, count)
	for i := range entries {
		entries[i] = roster.Entry{
			Announcement: target.Announcement{
				Name: fmt.Sprintf("i-%010x", random.Uint64()&0xff_ffff_ffff), Service: "service", FailureDomain: fmt.Sprintf("domain-%d", i%3), Kind: target.KindModel, Model: "m",
				Address: fmt.Sprintf("10.%d.%d.%d:8428", i%3, random.IntN(256), random.IntN(256)), Version: "v1", Capacity: 64,
				Stamp: target.Stamp{Incarnation: 1_776_477_204_400 + random.Uint64N(1000), Sequence: random.Uint64N(1000)},
			},
			State: roster.Ready, LastSeen: epoch.Add(-time.Duration(random.IntN(120)) * ageUnit),
		}
	}
	return entries
}

// Guards against packed entries that differ from the others, or that seem younger to the hosts
// that get them later.
func TestPackedEntries_ArriveAsEntriesWithTheirAges(t *testing.T) {
	entries := newEntries(300)
	packed := PackEntries(entries)
	for _, delay := range []time.Duration{0, 150 * time.Millisecond} {
		now := epoch.Add(delay)
		data, err := encodeFrame(frame{message: WatchResponse{RosterVersion: 7, Packed: packed}}, now)
		require.NoError(t, err)
		received, err := decodeFrame(data, now)
		require.NoError(t, err)
		response, ok := received.message.(WatchResponse)
		require.True(t, ok)
		require.Equal(t, entries, response.Entries)
		require.EqualValues(t, 7, response.RosterVersion)
	}
}

// Guards against a host that takes damaged entries for an empty roster.
func TestPackedEntries_DamagedIsInvalidFrame(t *testing.T) {
	data, err := encodeFrame(frame{message: WatchResponse{Packed: PackEntries(newEntries(300))}}, epoch)
	require.NoError(t, err)
	for i := 20; i < 200; i++ {
		data[i] ^= 0xff
	}
	_, err = decodeFrame(data, epoch)
	require.ErrorIs(t, err, ErrInvalidFrame)
}

// As entries, the announcements of 3,000 targets took 200 KB/s between each pair of hubs.
func TestRenewals_TakeLittleOfTheLink(t *testing.T) {
	var renewals []roster.Renewal
	random := rand.New(rand.NewPCG(1, 2))
	for i, entry := range newEntries(250) {
		renewals = append(renewals, roster.Renewal{Fingerprint: roster.Fingerprint(random.Uint64()), Sequence: uint64(i), LastSeen: entry.LastSeen})
	}
	data, err := encodeFrame(frame{message: RosterUpdate{Renewals: renewals}}, epoch)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), 13*len(renewals))
}

// A message to four hubs was encoded and compressed four times.
func TestSharedMessage_IsEncodedOnce(t *testing.T) {
	shared := &sharedMessage{Message: RosterUpdate{Host: "h", Entries: newEntries(40)}}
	first, err := shared.encode(epoch)
	require.NoError(t, err)
	second, err := shared.encode(epoch.Add(time.Second))
	require.NoError(t, err)
	require.Same(t, &first[0], &second[0])
	require.Equal(t, RosterUpdate{Host: "h"}.Host, unwrapShared(shared).(RosterUpdate).Host)
	require.Equal(t, Ping{}, unwrapShared(Ping{}))
}

// A new compressor for each frame allocated 1.2 MB, which took ten times as long as to compress
// a small frame.
func TestCompressFrame_ReusesCompressors(t *testing.T) {
	data, err := encodeFrame(frame{message: RosterUpdate{Entries: newEntries(30)}}, epoch)
	require.NoError(t, err)
	require.NotEmpty(t, data)
	plain := make([]byte, 4<<10)
	allocated := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := compressFrame(plain); err != nil {
				b.Fatal(err)
			}
		}
	}).AllocedBytesPerOp()
	const compressorBytes = 1200 << 10
	require.Less(t, float64(allocated), float64(100<<10+droppedByPool*compressorBytes))
}
