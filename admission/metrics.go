package admission

import (
	"time"

	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/route"
)

type metrics struct {
	permits  map[route.Reason]tally.Counter
	refusals map[RefusalCode]tally.Counter
	scope    tally.Scope
	waited   tally.Timer
	waiting  tally.Gauge
	inFlight tally.Gauge
	skew     tally.Gauge
	chats    tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		permits:  map[route.Reason]tally.Counter{},
		refusals: map[RefusalCode]tally.Counter{},
		scope:    scope,
		waited:   scope.Timer("queue_wait"),
		waiting:  scope.Gauge("queue_depth"),
		inFlight: scope.Gauge("in_flight"),
		skew:     scope.Gauge("max_over_mean"),
		chats:    scope.Gauge("chats"),
	}
	return m
}

func (m *metrics) granted(reason route.Reason, waited time.Duration) {
	counter, known := m.permits[reason]
	if !known {
		counter = m.scope.Tagged(map[string]string{"reason": reason.String()}).Counter("permits")
		m.permits[reason] = counter
	}
	counter.Inc(1)
	m.waited.Record(waited)
}

func (m *metrics) refused(code RefusalCode) {
	counter, known := m.refusals[code]
	if !known {
		counter = m.scope.Tagged(map[string]string{"code": string(code)}).Counter("refusals")
		m.refusals[code] = counter
	}
	counter.Inc(1)
}

func (m *metrics) state(s *Controller) {
	m.waiting.Update(float64(s.queue.len()))
	m.inFlight.Update(float64(s.load.InFlight))
	m.chats.Update(float64(s.memory.Len()))
	most := int32(0)
	for i := range s.candidates {
		if s.candidates[i].Admits() {
			most = max(most, s.candidates[i].InFlight)
		}
	}
	if s.load.InFlight > 0 && s.load.Targets > 0 {
		m.skew.Update(float64(most) * float64(s.load.Targets) / float64(s.load.InFlight))
	}
}
