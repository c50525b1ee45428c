package hub

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// fleetVersions records since when the latest fleet configuration is known here.
type fleetVersions struct {
	clock clockwork.Clock

	mu     sync.Mutex
	latest uint64
	since  time.Time
}

// record records the version of the configuration in the view.
func (f *fleetVersions) record(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version > f.latest {
		f.latest, f.since = version, f.clock.Now()
	}
}

// latestAge returns the latest version that is known here and for how long it has been.
func (f *fleetVersions) latestAge() (latest uint64, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest, f.clock.Since(f.since)
}

// recordFleetVersions records new versions of the configuration until ctx ends.
func (h *Hub) recordFleetVersions(ctx context.Context) {
	for {
		changed := h.replica.Machine.Changed()
		h.fleetVersions.record(h.replica.Machine.View().FleetVersion)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
