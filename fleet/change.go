package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// ChangeKind is the type of a change.
type ChangeKind string

// The kinds of change.
const (
	// Added means that the part is new.
	Added ChangeKind = "Added"
	// Removed means that the part no longer exists.
	Removed ChangeKind = "Removed"
	// Changed means that a field of the part has another value.
	Changed ChangeKind = "Changed"
)

// PartKind is the type of the part that a change affects.
type PartKind string

// The kinds of part.
const (
	PartFleet         PartKind = "Fleet"
	PartFailureDomain PartKind = "FailureDomain"
	PartService       PartKind = "Service"
	PartCall          PartKind = "Call"
	PartWorkspace     PartKind = "Workspace"
	PartStore         PartKind = "Store"
	PartRoute         PartKind = "Route"
	PartRequests      PartKind = "Requests"
)

// Change is a difference between two fleets.
type Change struct {
	Kind ChangeKind
	Part PartKind
	// Name is the name of the part; that of a call is Service.Call.
	Name string
	// Field is the key that has changed, such as Limits.Queue. It is empty if the
	// whole part was added or removed.
	Field string
	// Before and After are the formatted values.
	Before string
	After  string
}

// String returns the change as one line.
func (c Change) String() string {
	part := strings.TrimSpace(string(c.Part) + " " + c.Name)
	switch c.Kind {
	case Added:
		return "+ " + part
	case Removed:
		return "- " + part
	}
	return fmt.Sprintf("~ %s: %s: %s -> %s", part, c.Field, c.Before, c.After)
}

// Diff returns the changes from one fleet to another, in the order of the
// configuration. Either may be nil for an empty fleet. A different order of
// elements is not a change.
func Diff(before, after *Fleet) []Change {
	d := &differ{}
	before, after = orEmpty(before), orEmpty(after)
	d.compareFields(PartFleet, "", []fieldValues{{"Name", before.Name, after.Name}})
	d.compareDomains(before, after)
	d.compareServices(before, after)
	d.compareWorkspaces(before, after)
	d.compareFields(PartStore, "", []fieldValues{
		{"ConcurrentLoads", before.Store.ConcurrentLoads, after.Store.ConcurrentLoads},
		{"BytesPerSecond", before.Store.BytesPerSecond, after.Store.BytesPerSecond},
	})
	d.compareRoutes(before, after)
	d.compareFields(PartRequests, "", []fieldValues{
		{"HeaderBytes", before.Requests.HeaderBytes, after.Requests.HeaderBytes},
		{"BodyBytes", before.Requests.BodyBytes, after.Requests.BodyBytes},
		{"HeaderTime", before.Requests.HeaderTime, after.Requests.HeaderTime},
		{"IdleTime", before.Requests.IdleTime, after.Requests.IdleTime},
	})
	return d.changes
}

// RemovedNames returns the names of the services and workspaces that exist in before
// but not in after.
func RemovedNames(before, after *Fleet) (services, workspaces []string) {
	for _, change := range Diff(before, after) {
		switch {
		case change.Kind != Removed:
		case change.Part == PartService:
			services = append(services, change.Name)
		case change.Part == PartWorkspace:
			workspaces = append(workspaces, change.Name)
		}
	}
	return services, workspaces
}

func orEmpty(f *Fleet) *Fleet {
	if f == nil {
		return &Fleet{}
	}
	return f
}

type differ struct {
	changes []Change
}

// fieldValues holds the values of a field in both fleets.
type fieldValues struct {
	field  string
	before any
	after  any
}

func (d *differ) compareFields(part PartKind, name string, values []fieldValues) {
	for _, v := range values {
		before, after := fmt.Sprint(v.before), fmt.Sprint(v.after)
		if before != after {
			d.changes = append(d.changes, Change{Changed, part, name, v.field, before, after})
		}
	}
}

// matchByName pairs the parts of two lists by name. It calls compare for the parts in
// both lists, and records the others as added or removed.
func matchByName[T any](d *differ, part PartKind, before, after []T, name func(T) string, compare func(before, after T)) {
	old := make(map[string]T, len(before))
	for _, element := range before {
		old[name(element)] = element
	}
	kept := make(map[string]bool, len(after))
	for _, element := range after {
		kept[name(element)] = true
		if previous, exists := old[name(element)]; exists {
			compare(previous, element)
		} else {
			d.changes = append(d.changes, Change{Kind: Added, Part: part, Name: name(element)})
		}
	}
	for _, element := range before {
		if !kept[name(element)] {
			d.changes = append(d.changes, Change{Kind: Removed, Part: part, Name: name(element)})
		}
	}
}

func (d *differ) compareDomains(before, after *Fleet) {
	identity := func(name string) string { return name }
	matchByName(d, PartFailureDomain, before.FailureDomains, after.FailureDomains, identity, func(string, string) {})
}

func (d *differ) compareServices(before, after *Fleet) {
	name := func(service Service) string { return service.Name }
	matchByName(d, PartService, before.Services, after.Services, name, d.compareService)
}

func (d *differ) compareService(before, after Service) {
	d.compareFields(PartService, after.Name, []fieldValues{
		{"Kind", before.Kind, after.Kind},
		{"Model", before.Model, after.Model},
		{"Version", before.Version, after.Version},
		{"Adapters", sortedNames(before.Adapters), sortedNames(after.Adapters)},
		{"DependsOn", sortedNames(before.DependsOn), sortedNames(after.DependsOn)},
		{"Limits.InFlightPerTarget", before.Limits.InFlightPerTarget, after.Limits.InFlightPerTarget},
		{"Limits.LoadFactor", before.Limits.LoadFactor, after.Limits.LoadFactor},
		{"Limits.Queue", before.Limits.Queue, after.Limits.Queue},
		{"Limits.QueueWait", before.Limits.QueueWait, after.Limits.QueueWait},
		{"Limits.BodyBytes", before.Limits.BodyBytes, after.Limits.BodyBytes},
		{"Limits.Connections", before.Limits.Connections, after.Limits.Connections},
		{"WarmUp.ColdLimit", before.WarmUp.ColdLimit, after.WarmUp.ColdLimit},
		{"WarmUp.RampRequests", before.WarmUp.RampRequests, after.WarmUp.RampRequests},
		{"WarmUp.ColdFirstByte", before.WarmUp.ColdFirstByte, after.WarmUp.ColdFirstByte},
		{"WarmUp.ColdPerSecond", before.WarmUp.ColdPerSecond, after.WarmUp.ColdPerSecond},
		{"WarmUp.Lasts", before.WarmUp.Lasts, after.WarmUp.Lasts},
		{"Placement.Min", before.Placement.Min, after.Placement.Min},
		{"Placement.Max", before.Placement.Max, after.Placement.Max},
		{"Placement.Spread", before.Placement.Spread, after.Placement.Spread},
		{"Placement.Role", before.Placement.Role, after.Placement.Role},
		{"Timeouts.FirstByte", before.Timeouts.FirstByte, after.Timeouts.FirstByte},
		{"Timeouts.Gap", before.Timeouts.Gap, after.Timeouts.Gap},
		{"Timeouts.Total", before.Timeouts.Total, after.Timeouts.Total},
		{"MovesCache", before.MovesCache, after.MovesCache},
		{"MemoryTokens", before.MemoryTokens, after.MemoryTokens},
	})
	name := func(call Call) string { return after.Name + "." + call.Name }
	matchByName(d, PartCall, before.Calls, after.Calls, name, func(before, after Call) {
		d.compareFields(PartCall, name(after), []fieldValues{
			{"Idempotent", before.Idempotent, after.Idempotent},
			{"Priority", before.Priority, after.Priority},
			{"Stream", before.Stream, after.Stream},
			{"StopsWithCaller", before.StopsWithCaller, after.StopsWithCaller},
		})
	})
}

func (d *differ) compareWorkspaces(before, after *Fleet) {
	name := func(workspace Workspace) string { return workspace.Name }
	matchByName(d, PartWorkspace, before.Workspaces, after.Workspaces, name, func(before, after Workspace) {
		d.compareFields(PartWorkspace, after.Name, []fieldValues{
			{"Share", before.Share, after.Share},
			{"Services", sortedNames(before.Services), sortedNames(after.Services)},
			{"Keys", fingerprints(before.Keys), fingerprints(after.Keys)},
			{"Priority", formatPriority(before), formatPriority(after)},
		})
	})
}

func (d *differ) compareRoutes(before, after *Fleet) {
	name := func(route Route) string { return route.Name }
	matchByName(d, PartRoute, before.Routes, after.Routes, name, func(before, after Route) {
		d.compareFields(PartRoute, after.Name, []fieldValues{
			{"HostName", before.HostName, after.HostName},
			{"PathPrefix", before.PathPrefix, after.PathPrefix},
			{"Kind", before.Kind, after.Kind},
			{"Split", before.Split, after.Split},
			{"Attempts", before.Attempts, after.Attempts},
			{"Priority", before.Priority, after.Priority},
			{"Objective", before.Objective, after.Objective},
			{"Pause", before.Pause, after.Pause},
			{"Timeout", before.Timeout, after.Timeout},
			{"Public", before.Public, after.Public},
			{"Resumable", before.Resumable, after.Resumable},
		})
	})
}

// formatPriority returns whether the workspace has its own priority, and its value.
func formatPriority(workspace Workspace) string {
	return fmt.Sprint(workspace.HasPriority, " ", workspace.Priority)
}

// fingerprints returns short hashes of the keys, which are secret and must not be
// shown.
func fingerprints(keys []string) []string {
	hashes := make([]string, 0, len(keys))
	for _, key := range keys {
		sum := sha256.Sum256([]byte(key))
		hashes = append(hashes, hex.EncodeToString(sum[:4]))
	}
	return sortedNames(hashes)
}

// sortedNames returns the names in sorted order, so that a different order is not a
// change.
func sortedNames(names []string) []string {
	return slices.Sorted(slices.Values(names))
}
