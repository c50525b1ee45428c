package registry

const (
	// maxHistoryViews is the number of views that are kept to compute deltas. A
	// host that lags further behind gets the whole view.
	maxHistoryViews = 128
	// maxHistoryConfigBytes limits the total size of the distinct fleet
	// configurations in the history.
	maxHistoryConfigBytes = 16 << 20
)

// history holds the newest views, oldest first. Consecutive views share the parts
// that did not change.
type history struct {
	views       []*View
	configBytes int
}

func (h *history) add(view *View) {
	if last := h.newest(); last == nil || last.FleetVersion != view.FleetVersion {
		h.configBytes += len(view.FleetConfig)
	}
	h.views = append(h.views, view)
	for len(h.views) > 1 && (len(h.views) > maxHistoryViews || h.configBytes > maxHistoryConfigBytes) {
		h.dropOldest()
	}
}

func (h *history) newest() *View {
	if len(h.views) == 0 {
		return nil
	}
	return h.views[len(h.views)-1]
}

func (h *history) dropOldest() {
	oldest := h.views[0]
	h.views[0] = nil
	h.views = h.views[1:]
	if oldest.FleetVersion != h.views[0].FleetVersion {
		h.configBytes -= len(oldest.FleetConfig)
	}
}

// find returns the view with exactly the given revision and fleet version, or nil
// if it is not kept.
func (h *history) find(revision, fleetVersion uint64) *View {
	for i := len(h.views) - 1; i >= 0; i-- {
		view := h.views[i]
		if view.Revision == revision && view.FleetVersion == fleetVersion {
			return view
		}
	}
	return nil
}
