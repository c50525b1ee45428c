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

// fullRetry is the least after which a caller may find room in a full service,
// and half of the longest.
const fullRetry = 300 * time.Millisecond

// throttle lets plain services through in proportion to their queues, once for
// each word on the loads. The lock is held.
func (t *targets) throttle(now time.Time) {
	table, view := t.entry.view.Table(), t.entry.view.view()
	if table == nil {
		return
	}
	hosts := t.hosts.count()
	for name, list := range t.byService {
		service := table.Service(name)
		if service == nil || service.Kind != fleet.KindPlain {
			continue
		}
		running, slots := 0.0, 0
		mean := meanOthers(now, list)
		for _, k := range list {
			if k.State != roster.Ready || view.IsOut(k.Name, k.FailureDomain) || k.doubtful(now) {
				continue
			}
			own, _ := k.estimate(now, hosts, mean)
			running += own
			slots += k.Capacity
		}
		throttle := t.throttles[name]
		if throttle == nil {
			throttle = &route.Throttle{}
			t.throttles[name] = throttle
		}
		was := throttle.AdmitRate()
		throttle.ObserveLoad(running, slots)
		if now := throttle.AdmitRate(); (was == 1) != (now == 1) {
			t.log.WithFields(logrus.Fields{"Service": name, "Share": now, "Running": running, "Slots": slots}).
				Info("The share of requests that is let through changes.")
		}
	}
}

// refuseFull refuses a request to a service whose queues are full. Callers come
// back spread over the time in which the queues change.
func (t *targets) refuseFull(request *admission.Request, share float64) error {
	return &admission.Refusal{
		RequestID: request.ID, Code: admission.RefusedQueueFull,
		Message:    fmt.Sprintf("the targets' queues are full, a share of %.2f is let through", share),
		RetryAfter: fullRetry + rand.N(fullRetry),
	}
}
