package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// ChangeKind says what a Change does.
type ChangeKind string

// The kinds of change.
const (
	// Added: the part is new.
	Added ChangeKind = "Added"
	// Removed: the part is gone.
	Removed ChangeKind = "Removed"
	// Changed: a value of the part is another one.
	Changed ChangeKind = "Changed"
)

// PartKind says what sort of thing a Change is about.
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

// Change is one difference between two fleets.
type Change struct {
	Kind ChangeKind
	Part PartKind
	// Name names the part; a call is named Service.Call.
	Name string
	// Field is the key that has changed, such as Limits.Queue; empty when the
	// whole part was added or removed.
	Field string
	// Before and After are the values as they read in the text.
	Before string
	After  string
}

// String gives the change as one line.
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

// Diff returns what leads from one fleet to another, in the order of the text.
// Either may be nil for no fleet. A new order alone is no change.
func Diff(before, after *Fleet) []Change {
	d := &differ{}
	before, after = orEmpty(before), orEmpty(after)
	d.fields(PartFleet, "", []value{{"Name", before.Name, after.Name}})
	d.domains(before, after)
	d.services(before, after)
	d.workspaces(before, after)
	d.fields(PartStore, "", []value{
		{"ConcurrentLoads", before.Store.ConcurrentLoads, after.Store.ConcurrentLoads},
		{"BytesPerSecond", before.Store.BytesPerSecond, after.Store.BytesPerSecond},
	})
	d.routes(before, after)
	d.fields(PartRequests, "", []value{
		{"HeaderBytes", before.Requests.HeaderBytes, after.Requests.HeaderBytes},
		{"BodyBytes", before.Requests.BodyBytes, after.Requests.BodyBytes},
		{"HeaderTime", before.Requests.HeaderTime, after.Requests.HeaderTime},
		{"IdleTime", before.Requests.IdleTime, after.Requests.IdleTime},
	})
	return d.changes
}

// RemovedNames returns the names of the services and workspaces that the new fleet
// does not have.
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

// value is a field before and after.
type value struct {
	field  string
	before any
	after  any
}

func (d *differ) fields(part PartKind, name string, values []value) {
	for _, v := range values {
		before, after := fmt.Sprint(v.before), fmt.Sprint(v.after)
		if before != after {
			d.changes = append(d.changes, Change{Changed, part, name, v.field, before, after})
		}
	}
}

// match pairs the parts of two lists by name. It calls both for parts that both
// lists have, and records the others.
func match[T any](d *differ, part PartKind, before, after []T, name func(T) string, both func(before, after T)) {
	old := make(map[string]T, len(before))
	for _, element := range before {
		old[name(element)] = element
	}
	kept := make(map[string]bool, len(after))
	for _, element := range after {
		kept[name(element)] = true
		if previous, exists := old[name(element)]; exists {
			both(previous, element)
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

func (d *differ) domains(before, after *Fleet) {
	itself := func(name string) string { return name }
	match(d, PartFailureDomain, before.FailureDomains, after.FailureDomains, itself, func(string, string) {})
}

func (d *differ) services(before, after *Fleet) {
	name := func(service Service) string { return service.Name }
	match(d, PartService, before.Services, after.Services, name, d.service)
}

func (d *differ) service(before, after Service) {
	d.fields(PartService, after.Name, []value{
		{"Kind", before.Kind, after.Kind},
		{"Model", before.Model, after.Model},
		{"Version", before.Version, after.Version},
		{"Adapters", sortedList(before.Adapters), sortedList(after.Adapters)},
		{"DependsOn", sortedList(before.DependsOn), sortedList(after.DependsOn)},
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
	})
	name := func(call Call) string { return after.Name + "." + call.Name }
	match(d, PartCall, before.Calls, after.Calls, name, func(before, after Call) {
		d.fields(PartCall, name(after), []value{
			{"Idempotent", before.Idempotent, after.Idempotent},
			{"Priority", before.Priority, after.Priority},
			{"Stream", before.Stream, after.Stream},
			{"StopsWithCaller", before.StopsWithCaller, after.StopsWithCaller},
		})
	})
}

func (d *differ) workspaces(before, after *Fleet) {
	name := func(workspace Workspace) string { return workspace.Name }
	match(d, PartWorkspace, before.Workspaces, after.Workspaces, name, func(before, after Workspace) {
		d.fields(PartWorkspace, after.Name, []value{
			{"Share", before.Share, after.Share},
			{"Services", sortedList(before.Services), sortedList(after.Services)},
			{"Keys", fingerprints(before.Keys), fingerprints(after.Keys)},
			{"Priority", rank(before), rank(after)},
		})
	})
}

func (d *differ) routes(before, after *Fleet) {
	name := func(route Route) string { return route.Name }
	match(d, PartRoute, before.Routes, after.Routes, name, func(before, after Route) {
		d.fields(PartRoute, after.Name, []value{
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

// rank gives a workspace's own priority, if it has one.
func rank(workspace Workspace) string {
	return fmt.Sprint(workspace.HasPriority, " ", workspace.Priority)
}

// fingerprints stand for keys, which are secret and must not be shown.
func fingerprints(keys []string) []string {
	prints := make([]string, 0, len(keys))
	for _, key := range keys {
		sum := sha256.Sum256([]byte(key))
		prints = append(prints, hex.EncodeToString(sum[:4]))
	}
	return sortedList(prints)
}

// sortedList gives a list of names in one order, so that a new order is no
// change.
func sortedList(names []string) []string {
	return slices.Sorted(slices.Values(names))
}
