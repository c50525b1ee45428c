package admission

import "time"

// The bounds of the memory of ended requests.
const (
	recentAge   = 30 * time.Second
	recentCount = 1 << 15
)

// ended is a request that had its final answer.
type ended struct {
	id      string
	at      time.Time
	refusal *Refusal
}

// recent remembers the requests that ended a short while ago, so that a late
// duplicate is answered again and never granted again.
type recent struct {
	byID  map[string]*ended
	order []*ended
}

func newRecent() recent {
	return recent{byID: map[string]*ended{}}
}

// add notes the end of a request; refusal is nil for a released permit.
func (r *recent) add(now time.Time, id string, refusal *Refusal) {
	item := &ended{id: id, at: now, refusal: refusal}
	r.byID[id] = item
	r.order = append(r.order, item)
	for len(r.order) > recentCount || now.Sub(r.order[0].at) > recentAge {
		oldest := r.order[0]
		r.order[0] = nil
		r.order = r.order[1:]
		if r.byID[oldest.id] == oldest {
			delete(r.byID, oldest.id)
		}
	}
}
