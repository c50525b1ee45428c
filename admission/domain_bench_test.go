package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/route"
)

const (
	domainChats  = 20_000
	drainAt      = 60 * time.Second
	restoreAt    = 120 * time.Second
	domainEnd    = 180 * time.Second
	inForceDelay = time.Second
	lateAfter    = 2 * time.Second
	// domainMeanGap loads 18 warm engines to 60% of their capacity.
	domainMeanGap = (warmFirstByte + generationTime) * 10 / (6 * 18 * 32)
)

// phaseCounts counts the returning chats in one phase of a run.
type phaseCounts struct {
	returning int
	reused    int
}

func (w phaseCounts) ratio() float64 {
	return float64(w.reused) / float64(max(w.returning, 1))
}

// drainRun is a run in which a failure domain is drained and restored.
type drainRun struct {
	sim     *simulation
	late    int
	windows [3]phaseCounts
	waits   []time.Duration
}

func (d *drainRun) recordRun(p Permit, e *simulatedEngine, hit bool) {
	at := d.sim.now.Sub(start)
	if e.domain == "A" && at >= drainAt+lateAfter && at < restoreAt {
		d.late++
	}
	part := &d.windows[0]
	switch {
	case at < drainAt/2:
		return
	case at >= restoreAt:
		part = &d.windows[2]
	case at >= drainAt:
		part = &d.windows[1]
	}
	part.returning++
	if hit {
		part.reused++
	}
	d.waits = append(d.waits, p.Waited)
}

func (d *drainRun) p99WaitMillis() float64 {
	slices.Sort(d.waits)
	return float64(d.waits[len(d.waits)*99/100]) / float64(time.Millisecond)
}

// drainVariant selects how the engines of a run behave.
type drainVariant struct {
	movesCache bool
	// restartsEngines is set if the domain returns with new incarnations.
	restartsEngines bool
}

func runDomainDrain(v drainVariant, opts ...Option) *drainRun {
	config := tenWorkspaceConfig()
	m := newSimulation(1, config, 18, opts...)
	m.movesCache = v.movesCache
	d := &drainRun{sim: m}
	m.onRun = d.recordRun
	for _, e := range m.engines {
		m.joinWarm(e)
	}
	for i := range domainChats {
		m.makeChatWarm(fmt.Sprintf("chat-%d", i))
	}
	var send func()
	send = func() {
		m.sendRequest(fmt.Sprintf("w%d", m.arrivals.Intn(10)), fmt.Sprintf("chat-%d", m.arrivals.Intn(domainChats)))
		m.schedule(m.arrivalGap(domainMeanGap), send)
	}
	send()
	m.schedule(drainAt+inForceDelay, func() { m.setDomainsOut(map[string]bool{"A": true}) })
	m.schedule(restoreAt+inForceDelay, func() {
		m.setDomainsOut(nil)
		for _, e := range m.engines {
			if v.restartsEngines && e.domain == "A" {
				m.join(e)
			}
		}
	})
	m.runUntil(start.Add(domainEnd))
	return d
}

func (m *simulation) setDomainsOut(domains map[string]bool) {
	m.config.DomainsOut = domains
	m.owner.Configure(m.now, m.config)
}

// makeChatWarm makes a chat warm on the engine that rendezvous hashing selects.
func (m *simulation) makeChatWarm(name string) {
	item := &queuedRequest{chat: chat.KeyOf(name)}
	query := m.owner.chatQuery(item)
	query.Bound = unlimited
	choice := route.Choose(&query.Query, m.owner.candidates)
	m.owner.locations.RecordUse(m.now, item.chat, m.owner.targets[choice.Target].instance, false)
	m.byName[m.owner.targets[choice.Target].name].runChat(name)
	m.seenChats[name] = true
}

func BenchmarkDomainMove(b *testing.B) {
	for range b.N {
		result := runDomainDrain(drainVariant{})
		m := result.sim
		b.ReportMetric(float64(result.late), "late-new-work/op")
		b.ReportMetric(float64(m.refused)/float64(m.granted+m.refused), "refused/ratio")
		b.ReportMetric(result.p99WaitMillis(), "p99-wait-ms")
		b.ReportMetric(result.windows[0].ratio(), "reuse-before")
		b.ReportMetric(result.windows[1].ratio(), "reuse-during")
		b.ReportMetric(result.windows[2].ratio(), "reuse-after")
		moving := runDomainDrain(drainVariant{movesCache: true})
		b.ReportMetric(moving.windows[1].ratio(), "moving-during")
		b.ReportMetric(moving.p99WaitMillis(), "moving-p99-ms")
		cold := runDomainDrain(drainVariant{restartsEngines: true})
		b.ReportMetric(cold.windows[2].ratio(), "cold-return-after")
		b.ReportMetric(cold.p99WaitMillis(), "cold-return-p99-ms")
		b.ReportMetric(float64(cold.sim.refused)/float64(cold.sim.granted+cold.sim.refused), "cold-return-refused")
		baseline := runDomainDrain(drainVariant{}, withPolicy(rendezvousOnly))
		b.ReportMetric(baseline.windows[1].ratio(), "baseline-during")
		b.ReportMetric(baseline.windows[2].ratio(), "baseline-after")
		b.ReportMetric(baseline.p99WaitMillis(), "baseline-p99-ms")
		b.ReportMetric(float64(baseline.sim.refused)/float64(baseline.sim.granted+baseline.sim.refused), "baseline-refused")
	}
}
