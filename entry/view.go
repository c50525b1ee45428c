package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/registry"
)

// maxUnconfirmedAge is how long after its last confirmation a view counts as confirmed. It
// is shorter than the time in which a change must be in force on every host, 2 s on small
// fleets.
const maxUnconfirmedAge = 1500 * time.Millisecond

// stateView holds the state view that is in force on this host. It implements
// gateway.Catalog, gateway.Authority and protocol.Catalog.
type stateView struct {
	clock   clockwork.Clock
	current atomic.Pointer[indexedView]

	mu sync.Mutex
	// confirmedAt is a time at which the view held everything that was committed; zero if
	// unknown.
	confirmedAt time.Time
}

// indexedView is a state view with the lookup table of its fleet configuration.
type indexedView struct {
	*registry.View
	table *fleet.Table
}

// service returns the service with the given name; nil if it is not in the fleet
// configuration.
func (v *indexedView) service(name string) *fleet.Service {
	if v.table == nil {
		return nil
	}
	return v.table.Service(name)
}

func newStateView(clock clockwork.Clock) *stateView { return &stateView{clock: clock} }

// errViewMoved reports a delta that is based on an earlier view than the one in force.
var errViewMoved = errors.New("the view has changed since the delta was requested")

// apply applies an encoded delta and returns the views before and after it. It returns
// errViewMoved if another hub's delta was applied since this one was requested, and the
// errors of registry.Delta.
func (v *stateView) apply(encoded []byte, parse registry.FleetParser) (last, next *registry.View, err error) {
	delta, err := registry.DecodeDelta(encoded)
	if err != nil {
		return nil, nil, errors.Wrap(err, "decode state delta")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	last = v.latest()
	if last != nil && last.Revision > delta.FromRevision && delta.FromRevision != 0 {
		return nil, nil, errViewMoved
	}
	if next, err = delta.ApplyWithParser(last, parse); err != nil {
		return nil, nil, errors.Wrap(err, "apply state delta")
	}
	v.replace(next)
	return last, next, nil
}

// replace replaces the view in force.
func (v *stateView) replace(view *registry.View) {
	next := &indexedView{View: view}
	if last := v.current.Load(); last != nil && last.Fleet == view.Fleet {
		next.table = last.table
	} else if view.Fleet != nil {
		next.table = fleet.NewTable(view.Fleet)
	}
	v.current.Store(next)
}

// confirm records that the view held everything that was committed at a time.
func (v *stateView) confirm(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
}

// unconfirmedFor returns the time since the last confirmation; confirmed is false if there
// was none.
func (v *stateView) unconfirmedFor() (age time.Duration, confirmed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.clock.Since(v.confirmedAt), !v.confirmedAt.IsZero()
}

// IsConfirmed implements protocol.Catalog.
func (v *stateView) IsConfirmed() bool {
	age, confirmed := v.unconfirmedFor()
	return confirmed && age <= maxUnconfirmedAge
}

// latest returns the view in force; nil before the first one.
func (v *stateView) latest() *registry.View {
	if current := v.current.Load(); current != nil {
		return current.View
	}
	return nil
}

// isBehind reports whether the view is older than the revision; false for revision 0.
func (v *stateView) isBehind(revision uint64) bool {
	view := v.latest()
	return revision > 0 && (view == nil || view.Revision < revision)
}

// Table implements protocol.Catalog.
func (v *stateView) Table() *fleet.Table {
	if current := v.current.Load(); current != nil {
		return current.table
	}
	return nil
}

// Fleet implements gateway.Catalog.
func (v *stateView) Fleet() *fleet.Fleet {
	if current := v.current.Load(); current != nil {
		return current.Fleet
	}
	return nil
}

// Available implements gateway.Catalog. Every service counts as available.
func (v *stateView) Available(string) bool { return true }

// errNoFleet reports a host that has received no fleet configuration from a hub
// yet.
var errNoFleet = errors.New("no fleet is in force yet")

// Check implements gateway.Authority. An entry host continues to serve on its
// last view.
func (v *stateView) Check() error {
	if v.Fleet() == nil {
		return errNoFleet
	}
	return nil
}
