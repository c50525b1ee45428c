package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"comfreytiller.dev/route"
)

const (
	skewChats   = 20_000
	skewSpan    = 120 * time.Second
	surgeFrom   = 40 * time.Second
	surgeUntil  = 80 * time.Second
	surgeFactor = 10
)

// loadStats collects exact load statistics of a run.
type loadStats struct {
	sim *simulation
	// inFlight counts permits by target.
	inFlight  map[string]int
	total     int
	overBound int
	// maxRatio and ratioSum are the maximum and the sum of the max/mean samples.
	maxRatio float64
	ratioSum float64
	samples  int
	// waits holds the waits by workspace during the surge.
	waits map[string][]time.Duration
}

// recordGrant counts one admission and checks it against ceil(c × mean).
func (s *loadStats) recordGrant(p Permit, waited time.Duration) {
	s.inFlight[p.Target]++
	s.total++
	factor := route.LoadFactorOf(s.sim.config.Service.Limits.LoadFactor)
	load := route.Load{InFlight: -1}
	for _, e := range s.sim.engines {
		if s.sim.now.Sub(e.lastHeartbeat) < DefaultSuspectAfter {
			load.InFlight += s.inFlight[e.name]
			load.Targets++
		}
	}
	if s.inFlight[p.Target] > factor.Bound(load) {
		s.overBound++
	}
	if at := s.sim.now.Sub(start); at >= surgeFrom && at < surgeUntil {
		workspace := "w" + strings.Split(p.Chat, "-")[1]
		s.waits[workspace] = append(s.waits[workspace], waited)
	}
}

func (s *loadStats) sampleRatio() {
	maxInFlight := 0
	for _, count := range s.inFlight {
		maxInFlight = max(maxInFlight, count)
	}
	if s.total < len(s.sim.engines) {
		return
	}
	ratio := float64(maxInFlight) * float64(len(s.sim.engines)) / float64(s.total)
	s.maxRatio = max(s.maxRatio, ratio)
	s.ratioSum += ratio
	s.samples++
}

// runSurge simulates ten workspaces of which the first three surge tenfold. With
// oneQueue, all requests share the queue of the first workspace.
func runSurge(oneQueue bool, opts ...Option) *loadStats {
	m := newSimulation(1, tenWorkspaceConfig(), 18, opts...)
	s := &loadStats{sim: m, inFlight: map[string]int{}, waits: map[string][]time.Duration{}}
	if oneQueue {
		m.config.Service.Limits.Queue *= 10
		m.owner.Configure(m.now, m.config)
		m.workspaceOf = func(string) string { return "w0" }
	}
	m.onGrant = s.recordGrant
	m.onRelease = func(p Permit) {
		s.inFlight[p.Target]--
		s.total--
	}
	for _, e := range m.engines {
		m.joinWarm(e)
	}
	for i := range 10 {
		m.scheduleArrivals(i)
	}
	m.scheduleEvery(50*time.Millisecond, s.sampleRatio)
	m.runUntil(start.Add(skewSpan))
	return s
}

// scheduleArrivals sends one workspace's requests: 8 per second, and ten times as many
// for the first three workspaces during the surge.
func (m *simulation) scheduleArrivals(workspace int) {
	rate := 8
	if at := m.now.Sub(start); workspace < 3 && at >= surgeFrom && at < surgeUntil {
		rate *= surgeFactor
	}
	m.schedule(m.arrivalGap(time.Second/time.Duration(rate)), func() {
		m.sendRequest(fmt.Sprintf("w%d", workspace), fmt.Sprintf("chat-%d-%d", workspace, m.arrivals.Intn(skewChats/10)))
		m.scheduleArrivals(workspace)
	})
}

func meanMillis(waits []time.Duration) float64 {
	sum := time.Duration(0)
	for _, wait := range waits {
		sum += wait
	}
	return float64(sum) / float64(max(len(waits), 1)) / float64(time.Millisecond)
}

// maxQuietWait returns the largest mean wait, in milliseconds, of a workspace that
// does not surge.
func (s *loadStats) maxQuietWait() float64 {
	maxWait := 0.0
	for i := 3; i < 10; i++ {
		maxWait = max(maxWait, meanMillis(s.waits[fmt.Sprintf("w%d", i)]))
	}
	return maxWait
}

func (s *loadStats) meanSurgeWait() float64 {
	return meanMillis(append(append(s.waits["w0"], s.waits["w1"]...), s.waits["w2"]...))
}

func BenchmarkSkew(b *testing.B) {
	for range b.N {
		result := runSurge(false)
		b.ReportMetric(result.ratioSum/float64(result.samples), "max/mean")
		b.ReportMetric(result.maxRatio, "worst-max/mean")
		b.ReportMetric(float64(result.overBound), "over-bound/op")
		b.ReportMetric(result.maxQuietWait(), "quiet-wait-ms")
		b.ReportMetric(result.meanSurgeWait(), "surge-wait-ms")
		b.ReportMetric(result.maxQuietWait()/result.meanSurgeWait(), "quiet/surge-wait")
		b.ReportMetric(float64(result.sim.refused)/float64(result.sim.granted+result.sim.refused), "refused/ratio")
		b.ReportMetric(result.sim.ratio(result.sim.reused), "reuse/ratio")
		fifo := runSurge(true)
		b.ReportMetric(fifo.maxQuietWait(), "fifo-quiet-wait-ms")
		baseline := runSurge(false, withPolicy(rendezvousOnly))
		b.ReportMetric(baseline.ratioSum/float64(baseline.samples), "baseline-max/mean")
		random := runSurge(false, withPolicy(randomTarget(1)))
		b.ReportMetric(random.ratioSum/float64(random.samples), "random-max/mean")
	}
}
