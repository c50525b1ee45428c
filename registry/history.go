package registry

const (
	// historyViews is the number of views that a host may lag behind and still
	// get a small delta.
	historyViews = 128
	// historyTextBytes bounds the distinct fleet texts that the history keeps.
	historyTextBytes = 16 << 20
)

// history holds the newest views, oldest first. Views share what did not change
// between them.
type history struct {
	views     []*View
	textBytes int
}

func (h *history) add(view *View) {
	if last := h.newest(); last == nil || last.FleetVersion != view.FleetVersion {
		h.textBytes += len(view.FleetConfig)
	}
	h.views = append(h.views, view)
	for len(h.views) > 1 && (len(h.views) > historyViews || h.textBytes > historyTextBytes) {
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
		h.textBytes -= len(oldest.FleetConfig)
	}
}

// at returns the view of exactly that revision and version; nil when it is not
// kept.
func (h *history) at(revision, fleetVersion uint64) *View {
	for i := len(h.views) - 1; i >= 0; i-- {
		view := h.views[i]
		if view.Revision == revision && view.FleetVersion == fleetVersion {
			return view
		}
	}
	return nil
}
