package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"comfreytiller.dev/route"
)

const (
	skewChats = 20_000
	skewSpan  = 120 * time.Second
	surgeFrom = 40 * time.Second
	surgeTill = 80 * time.Second
	surgeRate = 10
)

// skew is what an omniscient counter sees of a run.
type skew struct {
	model *model
	// inFlight counts permits by target.
	inFlight  map[string]int
	total     int
	overBound int
	// ratios are max/mean samples.
	worst  float64
	sum    float64
	sample int
	// waits by workspace during the surge.
	waits map[string][]time.Duration
}

// grant counts one admission and checks it against ceil(c × mean).
func (s *skew) grant(p Permit, waited time.Duration) {
	s.inFlight[p.Target]++
	s.total++
	factor := route.LoadFactorOf(s.model.config.Service.Limits.LoadFactor)
	load := route.Load{InFlight: -1}
	for _, e := range s.model.engines {
		if s.model.now.Sub(e.heard) < DefaultSuspectAfter {
			load.InFlight += s.inFlight[e.name]
			load.Targets++
		}
	}
	if s.inFlight[p.Target] > factor.Bound(load) {
		s.overBound++
	}
	if at := s.model.now.Sub(start); at >= surgeFrom && at < surgeTill {
		workspace := "w" + strings.Split(p.Chat, "-")[1]
		s.waits[workspace] = append(s.waits[workspace], waited)
	}
}

func (s *skew) observe() {
	most := 0
	for _, count := range s.inFlight {
		most = max(most, count)
	}
	if s.total < len(s.model.engines) {
		return
	}
	ratio := float64(most) * float64(len(s.model.engines)) / float64(s.total)
	s.worst = max(s.worst, ratio)
	s.sum += ratio
	s.sample++
}

// surge runs ten workspaces of which the first three surge tenfold. With one
// queue, all requests are in the queue of the first.
func surge(oneQueue bool, opts ...Option) *skew {
	m := newModel(1, vernici(), 18, opts...)
	s := &skew{model: m, inFlight: map[string]int{}, waits: map[string][]time.Duration{}}
	if oneQueue {
		m.config.Service.Limits.Queue *= 10
		m.owner.Configure(m.now, m.config)
		m.workspaceOf = func(string) string { return "w0" }
	}
	m.onGrant = s.grant
	m.onRelease = func(p Permit) {
		s.inFlight[p.Target]--
		s.total--
	}
	for _, e := range m.engines {
		m.joinWarm(e)
	}
	for i := range 10 {
		m.source(i)
	}
	m.every(50*time.Millisecond, s.observe)
	m.runUntil(start.Add(skewSpan))
	return s
}

// source sends one workspace's requests: 8 a second, the first three ten times
// as many while they surge.
func (m *model) source(workspace int) {
	rate := 8
	if at := m.now.Sub(start); workspace < 3 && at >= surgeFrom && at < surgeTill {
		rate *= surgeRate
	}
	m.after(m.gap(time.Second/time.Duration(rate)), func() {
		m.ask(fmt.Sprintf("w%d", workspace), fmt.Sprintf("chat-%d-%d", workspace, m.arrivals.Intn(skewChats/10)))
		m.source(workspace)
	})
}

func mean(waits []time.Duration) float64 {
	sum := time.Duration(0)
	for _, wait := range waits {
		sum += wait
	}
	return float64(sum) / float64(max(len(waits), 1)) / float64(time.Millisecond)
}

// worstQuiet returns the largest mean wait of a workspace that does not surge.
func (s *skew) worstQuiet() float64 {
	worst := 0.0
	for i := 3; i < 10; i++ {
		worst = max(worst, mean(s.waits[fmt.Sprintf("w%d", i)]))
	}
	return worst
}

func (s *skew) surging() float64 {
	return mean(append(append(s.waits["w0"], s.waits["w1"]...), s.waits["w2"]...))
}

func BenchmarkSkew(b *testing.B) {
	for range b.N {
		ours := surge(false)
		b.ReportMetric(ours.sum/float64(ours.sample), "max/mean")
		b.ReportMetric(ours.worst, "worst-max/mean")
		b.ReportMetric(float64(ours.overBound), "over-bound/op")
		b.ReportMetric(ours.worstQuiet(), "quiet-wait-ms")
		b.ReportMetric(ours.surging(), "surge-wait-ms")
		b.ReportMetric(ours.worstQuiet()/ours.surging(), "quiet/surge-wait")
		b.ReportMetric(float64(ours.model.refused)/float64(ours.model.granted+ours.model.refused), "refused/ratio")
		b.ReportMetric(ours.model.ratio(ours.model.reused), "reuse/ratio")
		fifo := surge(true)
		b.ReportMetric(fifo.worstQuiet(), "fifo-quiet-wait-ms")
		baseline := surge(false, withPolicy(withoutMemory))
		b.ReportMetric(baseline.sum/float64(baseline.sample), "baseline-max/mean")
		random := surge(false, withPolicy(atRandom(1)))
		b.ReportMetric(random.sum/float64(random.sample), "random-max/mean")
	}
}
