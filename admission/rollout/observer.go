package rollout

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Failure is why a response is bad.
type Failure struct {
	// HadFirstByte is set if RecordFirstByte was called for the request.
	HadFirstByte bool
	// IsLost is set if the target closed the connection.
	IsLost bool
}

// Observer counts on an entry host the requests of the services in rollout. The caller names
// only rollouts that are serving. It is safe for concurrent use.
type Observer struct {
	mu       sync.Mutex
	services map[string]*ServiceReport
}

// NewObserver returns an observer without counts.
func NewObserver() *Observer { return &Observer{services: map[string]*ServiceReport{}} }

// service returns the counts of a rollout, and forgets those of an earlier one. It returns nil
// for a rollout that a later one has followed. The caller must hold o.mu.
func (o *Observer) service(name string, number uint64) *ServiceReport {
	counts := o.services[name]
	if counts == nil || counts.Number < number {
		counts = &ServiceReport{Service: name, Number: number}
		o.services[name] = counts
	}
	if counts.Number > number {
		return nil
	}
	return counts
}

// side returns the counts of a side of a route; nil for an old rollout. The caller must hold
// o.mu.
func (o *Observer) side(service string, number uint64, route string, isNew bool) *Side {
	counts := o.service(service, number)
	if counts == nil {
		return nil
	}
	entry := counts.route(route)
	if isNew {
		return &entry.New
	}
	return &entry.Others
}

// RecordRequest records a request that is sent for the first time.
func (o *Observer) RecordRequest(service string, number uint64, isNew bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if counts := o.service(service, number); counts != nil {
		counts.Requests++
		if isNew {
			counts.Exposed++
		}
	}
}

// RecordExposed records a request that is sent to the new version again, or goes on there.
func (o *Observer) RecordExposed(service string, number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if counts := o.service(service, number); counts != nil {
		counts.Exposed++
	}
}

// RecordFirstByte records the first byte of a response.
func (o *Observer) RecordFirstByte(service string, number uint64, route string, isNew bool, firstByte time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if side := o.side(service, number, route, isNew); side != nil {
		side.Responses++
		side.FirstByte[bucketOf(firstByte)]++
	}
}

// RecordFailure records a bad response.
func (o *Observer) RecordFailure(service string, number uint64, route string, isNew bool, failure Failure) {
	o.mu.Lock()
	defer o.mu.Unlock()
	side := o.side(service, number, route, isNew)
	if side == nil {
		return
	}
	if !failure.HadFirstByte {
		side.Responses++
	}
	if failure.IsLost {
		side.Lost++
	} else {
		side.Failures++
	}
}

// RecordNotRun records a request that its target has not run.
func (o *Observer) RecordNotRun(service string, number uint64, route string, isNew bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if side := o.side(service, number, route, isNew); side != nil {
		side.NotRun++
	}
}

// TakeReport returns what is to be reported to the hub and forgets it.
func (o *Observer) TakeReport() Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.services) == 0 {
		return Report{}
	}
	var report Report
	for _, counts := range o.services {
		report.Services = append(report.Services, *counts)
	}
	clear(o.services)
	slices.SortFunc(report.Services, func(a, b ServiceReport) int { return cmp.Compare(a.Service, b.Service) })
	return report
}

// RestoreReport takes back a report that did not reach the hub.
func (o *Observer) RestoreReport(report Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range report.Services {
		if counts := o.service(report.Services[i].Service, report.Services[i].Number); counts != nil {
			counts.Add(&report.Services[i])
		}
	}
}
