package admission

import "time"

// The bounds on the ended requests that are kept.
const (
	maxEndedAge   = 30 * time.Second
	maxEndedCount = 1 << 15
)

// endedRequest is a request that got its final answer.
type endedRequest struct {
	id      string
	at      time.Time
	refusal *Refusal
}

// endedRequests keeps the recently ended requests, so that a late duplicate gets the
// same answer and never a second permit.
type endedRequests struct {
	byID  map[string]*endedRequest
	order []*endedRequest
}

func newEndedRequests() endedRequests {
	return endedRequests{byID: map[string]*endedRequest{}}
}

// add records the end of a request; refusal is nil for a released permit.
func (r *endedRequests) add(now time.Time, id string, refusal *Refusal) {
	item := &endedRequest{id: id, at: now, refusal: refusal}
	r.byID[id] = item
	r.order = append(r.order, item)
	for len(r.order) > maxEndedCount || now.Sub(r.order[0].at) > maxEndedAge {
		oldest := r.order[0]
		r.order[0] = nil
		r.order = r.order[1:]
		if r.byID[oldest.id] == oldest {
			delete(r.byID, oldest.id)
		}
	}
}
