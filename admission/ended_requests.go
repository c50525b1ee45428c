package admission

import "time"

// The limits of the ended requests that are kept.
const (
	maxEndedAge   = 30 * time.Second
	maxEndedCount = 1 << 15
)

// endedRequest is a request whose final effect was a refusal or whose permit has been
// released.
type endedRequest struct {
	id      string
	endedAt time.Time
	refusal *Refusal
}

// endedRequests keeps the recently ended requests, so that a late duplicate gets the
// same refusal and never a second permit.
type endedRequests struct {
	byID  map[string]*endedRequest
	order []*endedRequest
}

func newEndedRequests() endedRequests {
	return endedRequests{byID: map[string]*endedRequest{}}
}

// add records the end of a request; refusal is nil for a released permit.
func (r *endedRequests) add(now time.Time, id string, refusal *Refusal) {
	item := &endedRequest{id: id, endedAt: now, refusal: refusal}
	r.byID[id] = item
	r.order = append(r.order, item)
	for len(r.order) > maxEndedCount || now.Sub(r.order[0].endedAt) > maxEndedAge {
		oldest := r.order[0]
		r.order[0] = nil
		r.order = r.order[1:]
		if r.byID[oldest.id] == oldest {
			delete(r.byID, oldest.id)
		}
	}
}
