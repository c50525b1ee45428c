package entry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/route"
	"comfreytiller.dev/target/roster"
)

// queueFullRetryAfter is the minimum and half of the maximum delay after which
// a caller of a service with full queues may retry.
const queueFullRetryAfter = 300 * time.Millisecond

// updateThrottles updates the share of requests that is admitted to each plain
// service, which depends on the queues of its targets. It runs once for each
// load report. The caller must hold t.mu.
func (t *targetSelector) updateThrottles(now time.Time) {
	table, view := t.daemon.view.Table(), t.daemon.view.latest()
	if table == nil {
		return
	}
	for name, list := range t.byService {
		service := table.Service(name)
		if t.fair != nil && service != nil {
			t.fair.observe(now, service, t.fairLoad(now, view, list))
			continue
		}
		if service == nil || service.Kind != fleet.KindPlain {
			continue
		}
		inFlight, slots := 0.0, 0
		loads := t.serviceLoads(now, name, list)
		for _, s := range list {
			if s.State != roster.Ready || view.IsOutOfService(s.Name, s.FailureDomain) || s.isAvoided(now) || t.rollouts.isUnused(view, s) {
				continue
			}
			estimated, _ := s.estimateLoad(now, loads)
			inFlight += estimated
			slots += t.usableSlotsNow(now, s, service, loads)
		}
		throttle := t.throttles[name]
		if throttle == nil {
			throttle = &route.Throttle{}
			t.throttles[name] = throttle
		}
		previous := throttle.AdmitRate()
		throttle.ObserveLoad(inFlight, slots)
		if current := throttle.AdmitRate(); (previous == 1) != (current == 1) {
			t.log.WithFields(logrus.Fields{"Service": name, "Share": current, "Running": inFlight, "Slots": slots}).
				Info("Share of admitted requests of the service changed.")
		}
	}
}

// refuseQueueFull returns a refusal for a request to a service whose queues are
// full. The retry delays are spread over the time in which queues change. share
// is the share of requests that is admitted.
func (t *targetSelector) refuseQueueFull(request *admission.Request, share float64) error {
	return &admission.Refusal{
		RequestID: request.ID, Code: admission.RefusedQueueFull,
		Message:    fmt.Sprintf("the targets' queues are full, a share of %.2f is let through", share),
		RetryAfter: queueFullRetryAfter + rand.N(queueFullRetryAfter),
	}
}
