package registry

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"comfreytiller.dev/fleet"
)

// Errors returned by Delta.Apply.
var (
	// ErrWrongBase: the delta starts from another view.
	ErrWrongBase = errors.New("delta is based on another view")
	// ErrStaleDelta: the delta leads to an older view or fleet version.
	ErrStaleDelta = errors.New("delta leads to an older view")
	// ErrConfigMismatch: the resulting fleet configuration is not the one that
	// the state machine accepted.
	ErrConfigMismatch = errors.New("fleet configuration does not match")
)

// Delta holds the changes from the view of FromRevision to that of ToRevision.
type Delta struct {
	// FromRevision is 0 for a delta that contains the whole view.
	FromRevision uint64
	ToRevision   uint64
	FleetVersion uint64
	// ConfigPatch is nil when the fleet configuration has not changed.
	ConfigPatch   *ConfigPatch
	OutageVersion uint64
	// Sessions holds the new and changed sessions.
	Sessions       []Host
	ClosedSessions []uint64
	// Owners holds the new and changed owners by service. RemovedOwners holds the
	// services that no longer have an owner.
	Owners          map[string]Owner
	RemovedOwners   []string
	DomainsOut      []string
	DomainsRestored []string
	TargetsOut      []string
	TargetsRestored []string
	Pins            map[string]string
	Unpinned        []string
	// OrdersStarted holds the targets with a new pending order, OrdersEnded those
	// that no longer have one.
	OrdersStarted []string
	OrdersEnded   []string
	// Rollouts holds the new and changed rollouts by service.
	Rollouts map[string]Rollout
}

// DeltaSince returns the delta from the view with the given revision and fleet
// version to the current view. If that view is no longer in the history, the
// delta contains the whole view.
func (m *Machine) DeltaSince(revision, fleetVersion uint64) Delta {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	current := m.view.Load()
	if base := m.history.find(revision, fleetVersion); base != nil && revision > 0 {
		return diffViews(base, current)
	}
	whole := diffViews(emptyView(), current)
	whole.FromRevision = 0
	return whole
}

// EncodedDeltaSince returns the encoded delta of DeltaSince. The encoding is
// cached for hosts that hold the same view.
func (m *Machine) EncodedDeltaSince(revision, fleetVersion uint64) []byte {
	m.deltas.Lock()
	defer m.deltas.Unlock()
	view := m.view.Load()
	if m.deltas.toView != view {
		m.deltas.toView, m.deltas.encoded = view, map[deltaBase][]byte{}
	}
	base := deltaBase{revision, fleetVersion}
	if encoded, known := m.deltas.encoded[base]; known {
		return encoded
	}
	delta := m.DeltaSince(revision, fleetVersion)
	encoded := delta.Encode()
	// A delta to a newer view that was published in the meantime is not cached.
	if delta.ToRevision == view.Revision && delta.FleetVersion == view.FleetVersion && len(m.deltas.encoded) < maxCachedDeltas {
		m.deltas.encoded[base] = encoded
	}
	return encoded
}

// maxCachedDeltas is the maximum number of encoded deltas cached for one view.
const maxCachedDeltas = 64

// deltaCache holds the encoded deltas that lead to the view toView.
type deltaCache struct {
	sync.Mutex
	toView  *View
	encoded map[deltaBase][]byte
}

// deltaBase identifies the view that a host holds.
type deltaBase struct {
	revision     uint64
	fleetVersion uint64
}

// diffViews returns the delta from one view to a later one.
func diffViews(from, to *View) Delta {
	delta := Delta{
		FromRevision:  from.Revision,
		ToRevision:    to.Revision,
		FleetVersion:  to.FleetVersion,
		OutageVersion: to.OutageVersion,
	}
	if from.FleetVersion != to.FleetVersion {
		patch := newConfigPatch(from.FleetVersion, from.FleetConfig, to.FleetConfig)
		delta.ConfigPatch = &patch
	}
	sessions, closed := diffMaps(allSessions(from), allSessions(to))
	for _, number := range sortedKeys(sessions) {
		delta.Sessions = append(delta.Sessions, sessions[number])
	}
	delta.ClosedSessions = closed
	delta.Owners, delta.RemovedOwners = diffMaps(from.Owners, to.Owners)
	delta.DomainsOut, delta.DomainsRestored = diffSets(from.DomainsOut, to.DomainsOut)
	delta.TargetsOut, delta.TargetsRestored = diffSets(from.TargetsOut, to.TargetsOut)
	delta.Pins, delta.Unpinned = diffMaps(from.Pins, to.Pins)
	delta.OrdersStarted, delta.OrdersEnded = diffSets(from.PendingOrders, to.PendingOrders)
	delta.Rollouts = changedRollouts(from.Rollouts, to.Rollouts)
	return delta
}

func allSessions(view *View) map[uint64]Host {
	sessions := maps.Clone(view.Closing)
	for _, host := range view.Hosts {
		sessions[host.Session] = host
	}
	return sessions
}

// diffMaps returns the entries that are new or changed, and the removed keys in
// ascending order.
func diffMaps[K interface{ ~string | ~uint64 }, V comparable](from, to map[K]V) (changed map[K]V, removed []K) {
	for key, value := range to {
		if old, exists := from[key]; exists && old == value {
			continue
		}
		if changed == nil {
			changed = map[K]V{}
		}
		changed[key] = value
	}
	for _, key := range sortedKeys(from) {
		if _, exists := to[key]; !exists {
			removed = append(removed, key)
		}
	}
	return changed, removed
}

func diffSets(from, to map[string]bool) (added, removed []string) {
	changed, removed := diffMaps(from, to)
	return sortedKeys(changed), removed
}

// Apply is ApplyWithParser with fleet.Parse.
func (d Delta) Apply(view *View) (*View, error) { return d.ApplyWithParser(view, fleet.Parse) }

// ApplyWithParser returns the view after the delta; a nil view stands for an empty
// one. A view never moves back to an older one. On ErrWrongBase or
// ErrConfigMismatch the host must request a whole view, on ErrStaleDelta it keeps
// its view. A delta that contains a whole view applies to any older view.
func (d Delta) ApplyWithParser(view *View, parse FleetParser) (*View, error) {
	if view == nil {
		view = emptyView()
	}
	if d.ToRevision < view.Revision || d.FleetVersion < view.FleetVersion {
		return nil, errors.Wrapf(ErrStaleDelta, "from revision %d version %d to revision %d version %d",
			view.Revision, view.FleetVersion, d.ToRevision, d.FleetVersion)
	}
	base := emptyView()
	if d.FromRevision != 0 {
		base = view
	}
	if d.FromRevision != base.Revision {
		return nil, errors.Wrapf(ErrWrongBase, "view has revision %d, delta starts from revision %d", base.Revision, d.FromRevision)
	}
	next := d.applyEntries(base)
	if err := d.applyConfigPatch(base, next, parse); err != nil {
		return nil, err
	}
	return next, nil
}

func (d Delta) applyEntries(base *View) *View {
	sessions := allSessions(base)
	for _, session := range d.Sessions {
		sessions[session.Session] = session
	}
	next := &View{
		Revision:      d.ToRevision,
		FleetVersion:  d.FleetVersion,
		OutageVersion: d.OutageVersion,
		Owners:        patchMap(base.Owners, d.Owners, d.RemovedOwners),
		DomainsOut:    patchSet(base.DomainsOut, d.DomainsOut, d.DomainsRestored),
		TargetsOut:    patchSet(base.TargetsOut, d.TargetsOut, d.TargetsRestored),
		Pins:          patchMap(base.Pins, d.Pins, d.Unpinned),
		PendingOrders: patchSet(base.PendingOrders, d.OrdersStarted, d.OrdersEnded),
		Rollouts:      patchMap(base.Rollouts, d.Rollouts, nil),
	}
	for _, number := range d.ClosedSessions {
		delete(sessions, number)
	}
	next.Hosts, next.Closing = splitSessions(sessions)
	return next
}

func (d Delta) applyConfigPatch(base, next *View, parse FleetParser) error {
	next.FleetConfig, next.Fleet = base.FleetConfig, base.Fleet
	if d.ConfigPatch == nil {
		if d.FleetVersion != base.FleetVersion {
			return errors.Wrapf(ErrConfigMismatch, "delta has no configuration for version %d", d.FleetVersion)
		}
		return nil
	}
	config, err := d.ConfigPatch.Apply(base.FleetVersion, base.FleetConfig)
	if err != nil {
		return err
	}
	parsed, err := parse(config)
	if err != nil {
		return errors.Wrap(ErrConfigMismatch, err.Error())
	}
	next.FleetConfig, next.Fleet = config, parsed
	return nil
}

func patchMap[K comparable, V any](base, changed map[K]V, removed []K) map[K]V {
	next := maps.Clone(base)
	maps.Copy(next, changed)
	for _, key := range removed {
		delete(next, key)
	}
	return next
}

func patchSet(base map[string]bool, added, removed []string) map[string]bool {
	next := patchMap(base, nil, removed)
	addAll(next, added)
	return next
}

// ConfigPatch keeps the first Prefix and the last Suffix bytes of a base
// configuration and replaces the bytes in between by Middle.
type ConfigPatch struct {
	// BaseVersion is the fleet version of the base configuration.
	BaseVersion uint64
	Prefix      int
	Suffix      int
	Middle      []byte
	// compressedChunks holds Middle in a received patch. The chunks can only be
	// decompressed with the base configuration.
	compressedChunks [][]byte
	// baseConfig is the base configuration. It is set only by newConfigPatch and
	// is not encoded.
	baseConfig []byte
	// Checksum is the xxHash of the whole new configuration.
	Checksum uint64
}

func newConfigPatch(base uint64, from, to []byte) ConfigPatch {
	shorter := min(len(from), len(to))
	prefix := 0
	for prefix < shorter && from[prefix] == to[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && from[len(from)-1-suffix] == to[len(to)-1-suffix] {
		suffix++
	}
	return ConfigPatch{
		BaseVersion: base,
		Prefix:      prefix,
		Suffix:      suffix,
		Middle:      to[prefix : len(to)-suffix],
		baseConfig:  from,
		Checksum:    xxhash.Sum64(to),
	}
}

// Apply applies the patch to a base configuration and returns the new one. Errors
// wrap ErrConfigMismatch.
func (p ConfigPatch) Apply(version uint64, base []byte) ([]byte, error) {
	if p.BaseVersion != version {
		return nil, errors.Wrapf(ErrConfigMismatch, "patch is based on version %d, not %d", p.BaseVersion, version)
	}
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix > len(base) || p.Suffix > len(base)-p.Prefix {
		return nil, errors.Wrap(ErrConfigMismatch, "patch keeps more bytes than the base configuration has")
	}
	middle := p.Middle
	if len(p.compressedChunks) > 0 {
		var err error
		if middle, err = decompressMiddle(p.compressedChunks, base, p.Prefix); err != nil {
			return nil, err
		}
	}
	config := make([]byte, 0, p.Prefix+len(middle)+p.Suffix)
	config = append(config, base[:p.Prefix]...)
	config = append(config, middle...)
	config = append(config, base[len(base)-p.Suffix:]...)
	if xxhash.Sum64(config) != p.Checksum {
		return nil, errors.Wrap(ErrConfigMismatch, "checksum of the patched configuration does not match")
	}
	return config, nil
}
