package quorum

import (
	"context"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fileStorage appends the saved data to a file and syncs it. It only measures
// the cost of a write and is never loaded.
type fileStorage struct {
	MemoryStorage
	file  *os.File
	bytes int
	syncs int
}

func newFileStorage(b *testing.B, host string) *fileStorage {
	file, err := os.Create(filepath.Join(b.TempDir(), host))
	require.NoError(b, err)
	b.Cleanup(func() { _ = file.Close() })
	return &fileStorage{file: file}
}

func (s *fileStorage) Save(state HardState, entries []Entry) error {
	data := EncodeHardState(state)
	for i := range entries {
		record := EncodeEntry(entries[i])
		data = binary.LittleEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
	}
	if err := s.sync(data); err != nil {
		return err
	}
	return s.MemoryStorage.Save(state, entries)
}

func (s *fileStorage) sync(data []byte) error {
	s.bytes += len(data)
	s.syncs++
	if _, err := s.file.Write(data); err != nil {
		return err
	}
	return s.file.Sync()
}

// discardMachine is a state machine that does nothing.
type discardMachine struct{}

func (discardMachine) Apply(_, _ uint64, _ []byte) []byte { return nil }
func (discardMachine) Snapshot() ([]byte, error)          { return []byte{1}, nil }
func (discardMachine) Restore([]byte) error               { return nil }

// BenchmarkCommit commits commands of 200 bytes on three replicas, each with a
// synced file. For comparison it reports the time of bare syncs of the same
// size in the same run.
func BenchmarkCommit(b *testing.B) {
	for _, writers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("Writers=%d", writers), func(b *testing.B) { benchmarkCommit(b, writers) })
	}
}

func benchmarkCommit(b *testing.B, writers int) {
	const commits = 512
	c := newTestCluster(b, Config{})
	defer c.stopAll()
	leader, storage := startFileCluster(b, c)
	command := make([]byte, 200)
	startBytes, startSyncs := storage.bytes, storage.syncs
	b.ResetTimer()
	for range b.N {
		var group sync.WaitGroup
		for range writers {
			group.Go(func() {
				for range commits / writers {
					if _, err := leader.Propose(context.Background(), command); err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
		group.Wait()
	}
	b.StopTimer()
	elapsed := b.Elapsed()
	total := float64(b.N * commits)
	perSync := (storage.bytes - startBytes) / max(storage.syncs-startSyncs, 1)
	bare := measureBareSync(b, perSync)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(elapsed.Nanoseconds())/total, "ns/commit")
	b.ReportMetric(total/elapsed.Seconds(), "commits/s")
	b.ReportMetric(float64(bare.Nanoseconds()), "ns/bare-sync")
	b.ReportMetric(float64(elapsed.Nanoseconds())/total/float64(bare.Nanoseconds()), "bare-syncs/commit")
	b.ReportMetric(total/float64(storage.syncs-startSyncs), "commits/sync")
}

// startFileCluster starts three replicas and waits for a leader.
func startFileCluster(b *testing.B, c *testCluster) (*Replica, *fileStorage) {
	var members []Member
	for _, host := range []string{"h1", "h2", "h3"} {
		members = append(members, Member{ID: "id-" + host, Host: host, Voter: true})
	}
	lead := make(chan string, 16)
	stores := map[string]*fileStorage{}
	for _, m := range members {
		stores[m.ID] = newFileStorage(b, m.Host)
		require.NoError(b, Bootstrap(stores[m.ID], "cluster", m.Host, members))
		r, err := Start(Config{Host: m.Host}, stores[m.ID], c, discardMachine{}, WithLeadershipChange(func(l Leadership) {
			if l.IsLeader {
				lead <- l.Leader
			}
		}))
		require.NoError(b, err)
		c.mu.Lock()
		c.byID[m.ID] = r
		c.mu.Unlock()
	}
	id := <-lead
	_, err := c.byID[id].Propose(context.Background(), nil)
	require.NoError(b, err)
	return c.byID[id], stores[id]
}

// measureBareSync returns the mean time to write and sync the given number of
// bytes.
func measureBareSync(b *testing.B, size int) time.Duration {
	const syncs = 200
	storage := newFileStorage(b, "bare")
	data := make([]byte, size)
	begin := time.Now()
	for range syncs {
		require.NoError(b, storage.sync(data))
	}
	return time.Since(begin) / syncs
}

// BenchmarkFailover stops the leader and counts the ticks of 50 ms until
// another replica has committed in its term, over many seeds.
func BenchmarkFailover(b *testing.B) {
	for _, size := range []int{3, 5} {
		for _, lose := range []int{0, 100} {
			b.Run(fmt.Sprintf("Replicas=%d/LossPerThousand=%d", size, lose), func(b *testing.B) {
				var ticks []int
				for range b.N {
					ticks = nil
					for seed := range uint64(1000) {
						ticks = append(ticks, ticksToFailover(b, seed, size, lose))
					}
				}
				slices.Sort(ticks)
				sum := 0
				for _, t := range ticks {
					sum += t
				}
				tick := float64(DefaultTickInterval.Milliseconds())
				b.ReportMetric(float64(sum)/float64(len(ticks)), "ticks/failover")
				b.ReportMetric(tick*float64(sum)/float64(len(ticks)), "ms/failover")
				b.ReportMetric(tick*float64(ticks[len(ticks)*99/100]), "ms-p99")
				b.ReportMetric(tick*float64(ticks[len(ticks)-1]), "ms-max")
			})
		}
	}
}

// ticksToFailover returns the number of ticks from the loss of a leader to the
// first commit of the next one.
func ticksToFailover(b *testing.B, seed uint64, size, lose int) int {
	s := newSim(b, seed, size, simFaults{})
	leader := s.electLeader()
	for range s.random.IntN(2 * DefaultElectionTicks) {
		s.tick()
	}
	s.faults.Drop = lose
	s.crash(leader)
	for ticks := 1; ; ticks++ {
		s.random.Shuffle(len(s.nodes), func(i, j int) { s.nodes[i], s.nodes[j] = s.nodes[j], s.nodes[i] })
		s.tick()
		for _, n := range s.nodes {
			if n.node != nil && n.node.Role() == Leader && n.node.committedInTerm() {
				return ticks
			}
		}
	}
}

// BenchmarkHeartbeat counts the bytes per second of an idle cluster, for the
// leader and per follower. It includes the TCP and IP headers of each message
// and of a separate acknowledgement for each.
func BenchmarkHeartbeat(b *testing.B) {
	const (
		headers = 2 * 52
		seconds = 60
	)
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprintf("Replicas=%d", size), func(b *testing.B) {
			leaderOut, leaderIn, payload := 0, 0, 0
			for range b.N {
				leaderOut, leaderIn, payload = 0, 0, 0
				s := newSim(b, 1, size, simFaults{})
				s.config.HeartbeatTicks = DefaultHeartbeatTicks
				leader := s.electLeader()
				for range seconds * int(time.Second/DefaultTickInterval) {
					for _, n := range s.nodes {
						n.node.Tick()
						s.process(n)
					}
					for len(s.inFlight) > 0 {
						m := s.inFlight[0]
						m.Cluster, m.From, m.To = "0123456789abcdef", "0123456789abcdef", "0123456789abcdef"
						bytes := len(EncodeMessages([]Message{m}))
						payload += bytes
						if s.inFlight[0].From == leader.node.ID() {
							leaderOut += bytes + headers
						} else {
							leaderIn += bytes + headers
						}
						to := s.byID(s.inFlight[0].To)
						to.node.Step(s.inFlight[0])
						s.inFlight = s.inFlight[1:]
						s.process(to)
					}
				}
			}
			b.ReportMetric(float64(leaderOut+leaderIn)/seconds, "leader-B/s")
			b.ReportMetric(float64(leaderOut+leaderIn)/seconds/float64(size-1), "follower-B/s")
			b.ReportMetric(float64(payload)/seconds, "payload-B/s")
		})
	}
}
