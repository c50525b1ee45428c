package registry

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"comfreytiller.dev/fleet"
)

// The errors of Delta.Apply.
var (
	// ErrWrongBase: the delta starts from another view.
	ErrWrongBase = errors.New("delta for another view")
	// ErrStaleDelta: the delta leads to an older view or fleet version.
	ErrStaleDelta = errors.New("delta to an older view")
	// ErrConfigMismatch: the fleet text that results is not the one that was accepted.
	ErrConfigMismatch = errors.New("fleet text does not match")
)

// Delta is what a host that holds the view From needs to get the view To.
type Delta struct {
	// FromRevision is 0 for a delta that holds the whole view.
	FromRevision uint64
	ToRevision   uint64
	FleetVersion uint64
	// Config is nil when the fleet text stays.
	ConfigPatch   *ConfigPatch
	OutageVersion uint64
	// Sessions are new or changed, Closed gone.
	Sessions       []Host
	ClosedSessions []uint64
	// Owners are new or changed, by service; RemovedOwners have none.
	Owners          map[string]Owner
	RemovedOwners   []string
	DomainsOut      []string
	DomainsRestored []string
	TargetsOut      []string
	TargetsRestored []string
	Pins            map[string]string
	Unpinned        []string
	// PendingOrders have an order that has not ended, Unordered have none any more.
	OrdersStarted []string
	OrdersEnded   []string
}

// DeltaSince returns what a host needs that holds the view of that revision and
// fleet version. It holds the whole view when that one is not known any more.
func (m *Machine) DeltaSince(revision, fleetVersion uint64) Delta {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	current := m.view.Load()
	if base := m.history.at(revision, fleetVersion); base != nil && revision > 0 {
		return diff(base, current)
	}
	whole := diff(emptyView(), current)
	whole.FromRevision = 0
	return whole
}

// EncodedDeltaSince is DeltaSince in bytes. Hosts that hold the same view share
// the work.
func (m *Machine) EncodedDeltaSince(revision, fleetVersion uint64) []byte {
	m.deltas.Lock()
	defer m.deltas.Unlock()
	view := m.view.Load()
	if m.deltas.to != view {
		m.deltas.to, m.deltas.encoded = view, map[deltaBase][]byte{}
	}
	base := deltaBase{revision, fleetVersion}
	if encoded, known := m.deltas.encoded[base]; known {
		return encoded
	}
	delta := m.DeltaSince(revision, fleetVersion)
	encoded := delta.Encode()
	if delta.ToRevision == view.Revision && delta.FleetVersion == view.FleetVersion && len(m.deltas.encoded) < maxSharedDeltas {
		m.deltas.encoded[base] = encoded
	}
	return encoded
}

// maxSharedDeltas bounds the encoded deltas that are kept for one view.
const maxSharedDeltas = 64

// sharedDeltas are the encoded deltas that lead to one view.
type sharedDeltas struct {
	sync.Mutex
	to      *View
	encoded map[deltaBase][]byte
}

// deltaBase names the view that a host holds.
type deltaBase struct {
	revision     uint64
	fleetVersion uint64
}

// diff describes how to get from one view to a later one.
func diff(from, to *View) Delta {
	delta := Delta{
		FromRevision:  from.Revision,
		ToRevision:    to.Revision,
		FleetVersion:  to.FleetVersion,
		OutageVersion: to.OutageVersion,
	}
	if from.FleetVersion != to.FleetVersion {
		patch := newTextPatch(from.FleetVersion, from.FleetConfig, to.FleetConfig)
		delta.ConfigPatch = &patch
	}
	sessions, closed := changedEntries(sessionsOf(from), sessionsOf(to))
	for _, number := range sortedKeys(sessions) {
		delta.Sessions = append(delta.Sessions, sessions[number])
	}
	delta.ClosedSessions = closed
	delta.Owners, delta.RemovedOwners = changedEntries(from.Owners, to.Owners)
	delta.DomainsOut, delta.DomainsRestored = changedNames(from.DomainsOut, to.DomainsOut)
	delta.TargetsOut, delta.TargetsRestored = changedNames(from.TargetsOut, to.TargetsOut)
	delta.Pins, delta.Unpinned = changedEntries(from.Pins, to.Pins)
	delta.OrdersStarted, delta.OrdersEnded = changedNames(from.PendingOrders, to.PendingOrders)
	return delta
}

func sessionsOf(view *View) map[uint64]Host {
	sessions := maps.Clone(view.Closing)
	for _, host := range view.Hosts {
		sessions[host.Session] = host
	}
	return sessions
}

// changedEntries returns the entries that are new or changed, and the keys that
// are gone, in order.
func changedEntries[K interface{ ~string | ~uint64 }, V comparable](from, to map[K]V) (changed map[K]V, gone []K) {
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
			gone = append(gone, key)
		}
	}
	return changed, gone
}

func changedNames(from, to map[string]bool) (added, removed []string) {
	changed, removed := changedEntries(from, to)
	return sortedKeys(changed), removed
}

// Apply is ApplyWithParser for texts in the language of fleet.Parse.
func (d Delta) Apply(view *View) (*View, error) { return d.ApplyWithParser(view, fleet.Parse) }

// ApplyWithParser returns the view after the delta. It never goes back: on ErrWrongBase
// or ErrConfigMismatch the host asks for a whole view, on ErrStaleDelta it keeps what it has.
// A delta that holds a whole view applies to any older one.
func (d Delta) ApplyWithParser(view *View, read FleetParser) (*View, error) {
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
		return nil, errors.Wrapf(ErrWrongBase, "revision %d, the delta starts from %d", base.Revision, d.FromRevision)
	}
	next := d.applyTables(base)
	if err := d.applyText(base, next, read); err != nil {
		return nil, err
	}
	return next, nil
}

func (d Delta) applyTables(base *View) *View {
	sessions := sessionsOf(base)
	for _, session := range d.Sessions {
		sessions[session.Session] = session
	}
	next := &View{
		Revision:      d.ToRevision,
		FleetVersion:  d.FleetVersion,
		OutageVersion: d.OutageVersion,
		Owners:        withEntries(base.Owners, d.Owners, d.RemovedOwners),
		DomainsOut:    withNames(base.DomainsOut, d.DomainsOut, d.DomainsRestored),
		TargetsOut:    withNames(base.TargetsOut, d.TargetsOut, d.TargetsRestored),
		Pins:          withEntries(base.Pins, d.Pins, d.Unpinned),
		PendingOrders: withNames(base.PendingOrders, d.OrdersStarted, d.OrdersEnded),
	}
	for _, number := range d.ClosedSessions {
		delete(sessions, number)
	}
	next.Hosts, next.Closing = splitSessions(sessions)
	return next
}

func (d Delta) applyText(base, next *View, read FleetParser) error {
	next.FleetConfig, next.Fleet = base.FleetConfig, base.Fleet
	if d.ConfigPatch == nil {
		if d.FleetVersion != base.FleetVersion {
			return errors.Wrapf(ErrConfigMismatch, "no text for version %d", d.FleetVersion)
		}
		return nil
	}
	text, err := d.ConfigPatch.Apply(base.FleetVersion, base.FleetConfig)
	if err != nil {
		return err
	}
	parsed, err := read(text)
	if err != nil {
		return errors.Wrap(ErrConfigMismatch, err.Error())
	}
	next.FleetConfig, next.Fleet = text, parsed
	return nil
}

func withEntries[K comparable, V any](base, changed map[K]V, gone []K) map[K]V {
	next := maps.Clone(base)
	maps.Copy(next, changed)
	for _, key := range gone {
		delete(next, key)
	}
	return next
}

func withNames(base map[string]bool, added, removed []string) map[string]bool {
	next := withEntries(base, nil, removed)
	setAll(next, added)
	return next
}

// ConfigPatch keeps the first and the last bytes of a base text and replaces what
// is between them.
type ConfigPatch struct {
	// BaseVersion is the fleet version of the base text.
	BaseVersion uint64
	Prefix      int
	Suffix      int
	Middle      []byte
	// pieces stand for Middle until the base text is at hand.
	pieces [][]byte
	// base is the base text, where the patch was made.
	base []byte
	// Checksum is the xxhash of the whole new text.
	Checksum uint64
}

func newTextPatch(base uint64, from, to []byte) ConfigPatch {
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
		base:        from,
		Checksum:    xxhash.Sum64(to),
	}
}

// Apply returns the new text. Its error wraps ErrConfigMismatch.
func (p ConfigPatch) Apply(version uint64, base []byte) ([]byte, error) {
	if p.BaseVersion != version {
		return nil, errors.Wrapf(ErrConfigMismatch, "the patch is for version %d, not %d", p.BaseVersion, version)
	}
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix > len(base) || p.Suffix > len(base)-p.Prefix {
		return nil, errors.Wrap(ErrConfigMismatch, "the patch keeps more than the text has")
	}
	middle := p.Middle
	if len(p.pieces) > 0 {
		var err error
		if middle, err = joinPieces(p.pieces, base, p.Prefix); err != nil {
			return nil, err
		}
	}
	text := make([]byte, 0, p.Prefix+len(middle)+p.Suffix)
	text = append(text, base[:p.Prefix]...)
	text = append(text, middle...)
	text = append(text, base[len(base)-p.Suffix:]...)
	if xxhash.Sum64(text) != p.Checksum {
		return nil, errors.Wrap(ErrConfigMismatch, "the checksum does not match")
	}
	return text, nil
}
