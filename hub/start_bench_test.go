package hub

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/target/roster"
)

const (
	benchTargets = 3000
	benchHosts   = 300
	// announceInterval is the interval between two announcements of a target, pollInterval
	// that between two polls of a host at a hub that serves all of them.
	announceInterval = time.Second
	pollInterval     = 500 * time.Millisecond
)

// newBenchHub returns a hub that knows benchTargets targets.
func newBenchHub(b *testing.B) (*Hub, []roster.Entry) {
	c := newCluster(b, 3)
	c.eventually("the hub has contact", func() bool { return c.hubs[0].hasMajorityContact() })
	random := rand.New(rand.NewPCG(1, 2))
	entries := make([]roster.Entry, benchTargets)
	for i := range entries {
		entries[i] = newRandomEntry(random, i)
		c.hubs[0].roster.Merge(time.Now(), entries[i])
	}
	return c.hubs[0], entries
}

// reportShare reports the share of a core that a number of operations in an interval takes.
func reportShare(b *testing.B, operations int, interval time.Duration) {
	perOperation := b.Elapsed().Seconds() / float64(b.N)
	b.ReportMetric(100*perOperation*float64(operations)/interval.Seconds(), "%core")
}

// BenchmarkAnnouncements measures the announcements of 3,000 targets without their transport.
func BenchmarkAnnouncements(b *testing.B) {
	h, entries := newBenchHub(b)
	control := &controlHandler{hub: h}
	n := 0
	for b.Loop() {
		entry := &entries[n%len(entries)]
		entry.Sequence += 1000
		require.NoError(b, control.Announce(context.Background(), *entry))
		n++
	}
	reportShare(b, benchTargets, announceInterval)
}

// BenchmarkReports measures the polls of 300 hosts, each with its loads, without the transport.
func BenchmarkReports(b *testing.B) {
	h, entries := newBenchHub(b)
	loads := map[roster.Key]int{}
	for i := range 12 {
		loads[roster.KeyOf(entries[i].Name)] = 3
	}
	version, _ := h.roster.Version()
	names := make([]string, benchHosts)
	for i := range names {
		names[i] = fmt.Sprint("e-", i)
	}
	n := 0
	for b.Loop() {
		h.handleWatch(peer.WatchRequest{
			Host: names[n%benchHosts], PeerAddress: "127.0.0.1:1", RosterSource: h.rosterSource, RosterVersion: version, Revision: 1 << 40, Loads: loads, PassesViews: true,
		}, func(peer.Message) {})
		n++
	}
	reportShare(b, benchHosts, pollInterval)
}
