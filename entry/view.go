package entry

import (
	"sync/atomic"

	"github.com/go-faster/errors"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/registry"
)

// stateView holds the state view that is in force on this host. It implements
// gateway.Catalog, gateway.Authority and protocol.Catalog.
type stateView struct{ current atomic.Pointer[indexedView] }

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

func newStateView() *stateView { return &stateView{} }

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

// latest returns the view in force; nil before the first one.
func (v *stateView) latest() *registry.View {
	if current := v.current.Load(); current != nil {
		return current.View
	}
	return nil
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
