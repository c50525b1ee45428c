package admission

import (
	"time"

	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/route"
)

type metrics struct {
	permits     map[route.Reason]tally.Counter
	refusals    map[RefusalCode]tally.Counter
	scope       tally.Scope
	queueWait   tally.Timer
	queueDepth  tally.Gauge
	inFlight    tally.Gauge
	maxOverMean tally.Gauge
	chats       tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		permits:     map[route.Reason]tally.Counter{},
		refusals:    map[RefusalCode]tally.Counter{},
		scope:       scope,
		queueWait:   scope.Timer("queue_wait"),
		queueDepth:  scope.Gauge("queue_depth"),
		inFlight:    scope.Gauge("in_flight"),
		maxOverMean: scope.Gauge("max_over_mean"),
		chats:       scope.Gauge("chats"),
	}
	return m
}

func (m *metrics) recordGrant(reason route.Reason, waited time.Duration) {
	counter, known := m.permits[reason]
	if !known {
		counter = m.scope.Tagged(map[string]string{"reason": reason.String()}).Counter("permits")
		m.permits[reason] = counter
	}
	counter.Inc(1)
	m.queueWait.Record(waited)
}

func (m *metrics) recordRefusal(code RefusalCode) {
	counter, known := m.refusals[code]
	if !known {
		counter = m.scope.Tagged(map[string]string{"code": string(code)}).Counter("refusals")
		m.refusals[code] = counter
	}
	counter.Inc(1)
}

func (m *metrics) updateGauges(c *Controller) {
	m.queueDepth.Update(float64(c.queue.len()))
	m.inFlight.Update(float64(c.load.InFlight))
	m.chats.Update(float64(c.locations.Len()))
	maxInFlight := int32(0)
	for i := range c.candidates {
		if c.candidates[i].Admits() {
			maxInFlight = max(maxInFlight, c.candidates[i].InFlight)
		}
	}
	if c.load.InFlight > 0 && c.load.Targets > 0 {
		m.maxOverMean.Update(float64(maxInFlight) * float64(c.load.Targets) / float64(c.load.InFlight))
	}
}
