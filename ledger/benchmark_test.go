package ledger_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/ledger"
)

const recordBytes = 200

// BenchmarkAppend measures a durable append and, in the same run, a plain write and
// fsync of the same number of bytes at the end of a file.
func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("records=%d", size), func(b *testing.B) {
			dir := b.TempDir()
			log, err := ledger.Open(filepath.Join(dir, "log"))
			require.NoError(b, err)
			defer log.Close()
			plain, err := os.Create(filepath.Join(dir, "bare"))
			require.NoError(b, err)
			defer plain.Close()
			records := make([][]byte, size)
			for i := range records {
				records[i] = make([]byte, recordBytes)
			}
			// Each record has a header of 21 bytes on disk.
			content := make([]byte, size*(recordBytes+21))
			var ledgerTime, plainTime time.Duration
			index := uint64(1)
			for b.Loop() {
				indexes := indexesFrom(index, size)
				start := time.Now()
				require.NoError(b, log.Append(nil, indexes, records))
				middle := time.Now()
				_, err := plain.Write(content)
				require.NoError(b, err)
				require.NoError(b, plain.Sync())
				ledgerTime += middle.Sub(start)
				plainTime += time.Since(middle)
				index += uint64(size)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(ledgerTime.Nanoseconds())/float64(b.N), "append-ns/op")
			b.ReportMetric(float64(plainTime.Nanoseconds())/float64(b.N), "bare-fsync-ns/op")
			b.ReportMetric(float64(ledgerTime)/float64(plainTime), "ratio")
		})
	}
}

// BenchmarkRecovery measures Open and Load and the disk usage after 100,000
// records, with and without snapshots.
func BenchmarkRecovery(b *testing.B) {
	const recordCount, batchRecords = 100_000, 100
	for _, snapshotInterval := range []uint64{0, 10_000} {
		b.Run(fmt.Sprintf("snapshot-every=%d", snapshotInterval), func(b *testing.B) {
			dir := filepath.Join(b.TempDir(), "log")
			log, err := ledger.Open(dir)
			require.NoError(b, err)
			records := make([][]byte, batchRecords)
			for i := range records {
				records[i] = make([]byte, recordBytes)
			}
			for index := uint64(1); index <= recordCount; index += batchRecords {
				require.NoError(b, log.Append([]byte("state"), indexesFrom(index, batchRecords), records))
				if last := index + batchRecords - 1; snapshotInterval > 0 && last%snapshotInterval == 0 && last < recordCount {
					require.NoError(b, log.SaveSnapshot(last, make([]byte, 1<<20)))
				}
			}
			require.NoError(b, log.Close())
			for b.Loop() {
				log, err := ledger.Open(dir)
				require.NoError(b, err)
				_, snapshotIndex, _, indexes, _, err := log.Load()
				require.NoError(b, err)
				require.EqualValues(b, recordCount, snapshotIndex+uint64(len(indexes)))
				require.NoError(b, log.Close())
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/1000/float64(b.N), "ms/op")
			b.ReportMetric(float64(dirBytes(b, dir)), "disk-bytes")
		})
	}
}

func dirBytes(b *testing.B, dir string) int64 {
	entries, err := os.ReadDir(dir)
	require.NoError(b, err)
	total := int64(0)
	for _, entry := range entries {
		info, err := entry.Info()
		require.NoError(b, err)
		total += info.Size()
	}
	return total
}
