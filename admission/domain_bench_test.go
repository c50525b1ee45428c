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
	// domainGap makes 60% of what 18 warm engines can serve.
	domainGap = (warmFirst + generation) * 10 / (6 * 18 * 32)
)

// window counts what happens in one part of a run.
type window struct {
	returning int
	reused    int
}

func (w window) ratio() float64 {
	return float64(w.reused) / float64(max(w.returning, 1))
}

// domainMove is a run in which a failure domain is taken out and brought back.
type domainMove struct {
	model   *model
	late    int
	windows [3]window
	waits   []time.Duration
}

func (d *domainMove) run(p Permit, e *modelEngine, hit bool) {
	at := d.model.now.Sub(start)
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

func (d *domainMove) p99() float64 {
	slices.Sort(d.waits)
	return float64(d.waits[len(d.waits)*99/100]) / float64(time.Millisecond)
}

// variant says how the engines of a run differ.
type variant struct {
	movesCache bool
	// restarts is set when the domain comes back with new incarnations.
	restarts bool
}

func moveDomain(v variant, opts ...Option) *domainMove {
	config := vernici()
	m := newModel(1, config, 18, opts...)
	m.movesCache = v.movesCache
	d := &domainMove{model: m}
	m.onRun = d.run
	for _, e := range m.engines {
		m.joinWarm(e)
	}
	for i := range domainChats {
		m.settled(fmt.Sprintf("chat-%d", i))
	}
	var send func()
	send = func() {
		m.ask(fmt.Sprintf("w%d", m.arrivals.Intn(10)), fmt.Sprintf("chat-%d", m.arrivals.Intn(domainChats)))
		m.after(m.gap(domainGap), send)
	}
	send()
	m.after(drainAt+inForceDelay, func() { m.takeOut(map[string]bool{"A": true}) })
	m.after(restoreAt+inForceDelay, func() {
		m.takeOut(nil)
		for _, e := range m.engines {
			if v.restarts && e.domain == "A" {
				m.join(e)
			}
		}
	})
	m.runUntil(start.Add(domainEnd))
	return d
}

func (m *model) takeOut(domains map[string]bool) {
	m.config.DomainsOut = domains
	m.owner.Configure(m.now, m.config)
}

// settled makes a chat warm on the engine that rendezvous hashing gives it.
func (m *model) settled(name string) {
	item := &waiting{chat: chat.KeyOf(name)}
	query := m.owner.query(item)
	query.Bound = unlimited
	choice := route.Choose(&query.Query, m.owner.candidates)
	m.owner.memory.RecordUse(m.now, item.chat, m.owner.targets[choice.Target].place, false)
	m.byName[m.owner.targets[choice.Target].name].run(name)
	m.seen[name] = true
}

func BenchmarkDomainMove(b *testing.B) {
	for range b.N {
		ours := moveDomain(variant{})
		m := ours.model
		b.ReportMetric(float64(ours.late), "late-new-work/op")
		b.ReportMetric(float64(m.refused)/float64(m.granted+m.refused), "refused/ratio")
		b.ReportMetric(ours.p99(), "p99-wait-ms")
		b.ReportMetric(ours.windows[0].ratio(), "reuse-before")
		b.ReportMetric(ours.windows[1].ratio(), "reuse-during")
		b.ReportMetric(ours.windows[2].ratio(), "reuse-after")
		moving := moveDomain(variant{movesCache: true})
		b.ReportMetric(moving.windows[1].ratio(), "moving-during")
		b.ReportMetric(moving.p99(), "moving-p99-ms")
		cold := moveDomain(variant{restarts: true})
		b.ReportMetric(cold.windows[2].ratio(), "cold-return-after")
		b.ReportMetric(cold.p99(), "cold-return-p99-ms")
		b.ReportMetric(float64(cold.model.refused)/float64(cold.model.granted+cold.model.refused), "cold-return-refused")
		baseline := moveDomain(variant{}, withPolicy(withoutMemory))
		b.ReportMetric(baseline.windows[1].ratio(), "baseline-during")
		b.ReportMetric(baseline.windows[2].ratio(), "baseline-after")
		b.ReportMetric(baseline.p99(), "baseline-p99-ms")
		b.ReportMetric(float64(baseline.model.refused)/float64(baseline.model.granted+baseline.model.refused), "baseline-refused")
	}
}
