package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzReader scans arbitrary bytes as a segment: scanSegment must not panic, must
// stop within the data, and must return the same result when it scans the accepted
// part again.
func FuzzReader(f *testing.F) {
	whole := segmentHeader(1)
	for i := range uint64(3) {
		b := newBatch(1, int64(len(whole)), 0, 0)
		b.add(kindState, 0, []byte{byte(i)})
		b.add(kindEntry, i+1, []byte("record"))
		whole = append(whole, b.bytes...)
	}
	cut := newBatch(1, int64(len(whole)), 0, 0)
	cut.add(kindTruncate, 1, nil)
	f.Add([]byte{})
	f.Add(segmentHeader(1))
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add(append(append([]byte{}, whole...), cut.bytes...))
	f.Add(append(append([]byte{}, whole...), make([]byte, 64)...))
	f.Add(append(append([]byte{}, whole[:40]...), whole[41:]...))
	f.Fuzz(func(t *testing.T, data []byte) {
		first := newReplay(0, true)
		s, err := scanSegment(first, 1, data, true)
		if err != nil {
			require.ErrorIs(t, err, ErrCorrupt)
			return
		}
		require.LessOrEqual(t, s.size, int64(len(data)))
		second := newReplay(0, true)
		rescanned, err := scanSegment(second, 1, data[:s.size], false)
		require.NoError(t, err)
		require.Equal(t, s, rescanned)
		indexes, records := first.contents()
		rescannedIndexes, rescannedRecords := second.contents()
		require.Equal(t, indexes, rescannedIndexes)
		require.Equal(t, records, rescannedRecords)
	})
}
