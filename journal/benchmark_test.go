package journal_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/journal"
)

const recordBytes = 200

// BenchmarkAppend reports the time of one durable batch and, from the same run,
// of one bare write and fsync of as many bytes at the end of a file.
func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("records=%d", size), func(b *testing.B) {
			folder := b.TempDir()
			log, err := journal.Open(filepath.Join(folder, "log"))
			require.NoError(b, err)
			defer log.Close()
			bare, err := os.Create(filepath.Join(folder, "bare"))
			require.NoError(b, err)
			defer bare.Close()
			records := make([][]byte, size)
			for i := range records {
				records[i] = make([]byte, recordBytes)
			}
			content := make([]byte, size*(recordBytes+21))
			var journalTime, bareTime time.Duration
			index := uint64(1)
			for b.Loop() {
				indexes := indexesFrom(index, size)
				start := time.Now()
				require.NoError(b, log.Append(nil, indexes, records))
				middle := time.Now()
				_, err := bare.Write(content)
				require.NoError(b, err)
				require.NoError(b, bare.Sync())
				journalTime += middle.Sub(start)
				bareTime += time.Since(middle)
				index += uint64(size)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(journalTime.Nanoseconds())/float64(b.N), "append-ns/op")
			b.ReportMetric(float64(bareTime.Nanoseconds())/float64(b.N), "bare-fsync-ns/op")
			b.ReportMetric(float64(journalTime)/float64(bareTime), "ratio")
		})
	}
}

// BenchmarkRecovery reports the time of Open and Load and the bytes on disk
// after 100,000 changes, against reading as many bytes from one file.
func BenchmarkRecovery(b *testing.B) {
	const changes, batch = 100_000, 100
	for _, every := range []uint64{0, 10_000} {
		b.Run(fmt.Sprintf("snapshot-every=%d", every), func(b *testing.B) {
			folder := filepath.Join(b.TempDir(), "log")
			log, err := journal.Open(folder)
			require.NoError(b, err)
			records := make([][]byte, batch)
			for i := range records {
				records[i] = make([]byte, recordBytes)
			}
			for index := uint64(1); index <= changes; index += batch {
				require.NoError(b, log.Append([]byte("state"), indexesFrom(index, batch), records))
				if last := index + batch - 1; every > 0 && last%every == 0 && last < changes {
					require.NoError(b, log.SaveSnapshot(last, make([]byte, 1<<20)))
				}
			}
			require.NoError(b, log.Close())
			for b.Loop() {
				log, err := journal.Open(folder)
				require.NoError(b, err)
				_, snapshotIndex, _, indexes, _, err := log.Load()
				require.NoError(b, err)
				require.EqualValues(b, changes, snapshotIndex+uint64(len(indexes)))
				require.NoError(b, log.Close())
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/1000/float64(b.N), "ms/op")
			b.ReportMetric(float64(folderBytes(b, folder)), "disk-bytes")
		})
	}
}

func folderBytes(b *testing.B, folder string) int64 {
	entries, err := os.ReadDir(folder)
	require.NoError(b, err)
	total := int64(0)
	for _, entry := range entries {
		info, err := entry.Info()
		require.NoError(b, err)
		total += info.Size()
	}
	return total
}
