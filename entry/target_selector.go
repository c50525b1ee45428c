package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/route"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/roster"
)

const (
	// newTargetPeriod is how long a target counts as new. startupSlack
	// separates new targets from those that this host learned of when it
	// started.
	newTargetPeriod = 45 * time.Second
	startupSlack    = 3 * time.Second
	// noTargetRetryAfter is the delay after which a caller may retry when no
	// target is available. A target that restarts or returns is known within
	// this time.
	noTargetRetryAfter = 700 * time.Millisecond
)

// modelCosts are the weights of a choice between model-serving targets. Reading
// or copying tokens weighs more than the time it takes, since it also slows all
// other requests on the target or its link.
var modelCosts = route.LocalCosts{
	PrefillToken: 100 * time.Microsecond,
	FetchToken:   20 * time.Microsecond,
	Running:      600 * time.Microsecond,
	Waiting:      25 * time.Millisecond,
	CrossDomain:  8 * time.Millisecond,
	FailureRate:  250 * time.Millisecond,
	Unhealthy:    5 * time.Second,
	Overload:     time.Second,
}

// plainCosts are the weights of a choice between targets of plain services,
// whose requests take tens of milliseconds each on a few slots.
var plainCosts = route.LocalCosts{
	Running:     5 * time.Millisecond,
	Waiting:     20 * time.Millisecond,
	CrossDomain: 5 * time.Millisecond,
	FailureRate: 100 * time.Millisecond,
	Unhealthy:   5 * time.Second,
	Overload:    20 * time.Millisecond,
}

// targetSelector chooses a target for each request. It implements
// gateway.Admitter.
type targetSelector struct {
	entry *Entry
	log   *logrus.Logger
	clock clockwork.Clock
	hosts *hostCount

	mu          sync.Mutex
	byName      map[string]*targetState
	byService   map[string][]*targetState
	throttles   map[string]*route.Throttle
	prefixCache *prefixCacheIndex
	table       *roster.Table
	// firstTargetSeen is when this host learned of its first target.
	firstTargetSeen time.Time
}

func newTargetSelector(e *Entry) *targetSelector {
	return &targetSelector{
		entry: e, log: logs.ForComponent(e.Log, "Target"), clock: e.Clock, hosts: &hostCount{clock: e.Clock},
		byName: map[string]*targetState{}, byService: map[string][]*targetState{}, throttles: map[string]*route.Throttle{}, prefixCache: newPrefixCacheIndex(), table: roster.NewTable(),
	}
}

// readyCount returns the number of targets that may receive requests.
func (t *targetSelector) readyCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	ready := 0
	for _, s := range t.byName {
		if s.State == roster.Ready {
			ready++
		}
	}
	return ready
}

// applyRoster applies the target entries and the host count of a hub's update.
func (t *targetSelector) applyRoster(entries []roster.Entry, hosts int) {
	t.hosts.record(hosts)
	if len(entries) == 0 {
		return
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstTargetSeen.IsZero() {
		t.firstTargetSeen = now
	}
	for _, entry := range entries {
		t.table.Merge(now, entry)
	}
	all, _ := t.table.ChangedSince(0)
	for _, entry := range all {
		t.updateTarget(now, entry)
	}
	t.rebuildIndex()
}

// updateTarget applies one entry of the table. The caller must hold t.mu.
func (t *targetSelector) updateTarget(now time.Time, entry roster.Entry) {
	s := t.byName[entry.Name]
	switch {
	case s == nil && entry.State == roster.Gone:
		return
	case s == nil || s.Incarnation != entry.Incarnation:
		added := &targetState{Entry: entry, firstSeen: now, coldSince: now}
		if s != nil {
			added.ownInFlight = s.ownInFlight
		}
		t.byName[entry.Name] = added
		t.logChange(entry)
		return
	}
	if s.State != entry.State || s.Silent != entry.Silent || s.Address != entry.Address {
		t.logChange(entry)
	}
	if !s.isCold(now) {
		s.coldSince = now
	}
	s.Entry = entry
}

func (t *targetSelector) logChange(entry roster.Entry) {
	t.log.WithFields(logrus.Fields{
		"Target": entry.Name, "Address": entry.Address, "FailureDomain": entry.FailureDomain, "Service": entry.Service,
		"State": entry.State, "Silent": entry.Silent, "WarmUp": entry.WarmUpRemaining, "Incarnation": entry.Incarnation,
		"HeardAge": t.clock.Since(entry.LastSeen),
	}).Infof("Target %s is %s.", entry.Name, entry.State)
}

// rebuildIndex rebuilds byService, sorted by name, and removes targets that are
// gone. The caller must hold t.mu.
func (t *targetSelector) rebuildIndex() {
	t.byService = map[string][]*targetState{}
	for name, s := range t.byName {
		if s.State == roster.Gone && s.ownInFlight == 0 {
			delete(t.byName, name)
			continue
		}
		t.byService[s.Service] = append(t.byService[s.Service], s)
	}
	for _, list := range t.byService {
		slices.SortFunc(list, func(a, b *targetState) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
	}
}

// ownLoads returns this host's requests in flight by target; nil for none.
func (t *targetSelector) ownLoads() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own map[string]int
	for name, s := range t.byName {
		if s.ownInFlight == 0 {
			continue
		}
		if own == nil {
			own = map[string]int{}
		}
		own[name] = s.ownInFlight
	}
	return own
}

// applyLoads applies the requests in flight of all hosts. total includes
// reported, the requests that this host reported itself. Targets missing from
// total have the mean load.
func (t *targetSelector) applyLoads(total map[string]int, mean float64, reported map[string]int) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateThrottles(now)
	for name, s := range t.byName {
		running, listed := total[name]
		others := float64(running - reported[name])
		if !listed {
			others = mean - float64(reported[name])
		}
		s.othersInFlight, s.othersInFlightAt = max(others, 0), now
	}
}

// recordTargetLoad records a load report of a target.
func (t *targetSelector) recordTargetLoad(name string, load target.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byName[name]; s != nil {
		s.recordLoad(t.clock.Now(), load)
	}
}

// Acquire implements gateway.Admitter. It decides without waiting.
func (t *targetSelector) Acquire(_ context.Context, request admission.Request) (admission.Permit, error) {
	view := t.entry.view.view()
	if view == nil {
		return admission.Permit{}, t.refuse(&request, admission.RefusedNoTarget, "no fleet is in force yet")
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.byService[request.Service]
	service := t.entry.view.Table().Service(request.Service)
	if service == nil {
		return admission.Permit{}, t.refuse(&request, admission.RefusedUnknownService, "no service "+request.Service)
	}
	if throttle := t.throttles[request.Service]; throttle != nil && len(request.Exclude) == 0 && !throttle.Admits(rand.Uint64()) {
		return admission.Permit{}, t.refuseQueueFull(&request, throttle.AdmitRate())
	}
	hosts := t.hosts.count()
	mean := meanOthersLoad(now, list)
	key, tokens := t.promptKey(&request)
	candidates := make([]route.LocalTarget, len(list))
	open := 0
	for i, s := range list {
		candidates[i] = t.describeCandidate(now, s, view, service, &request, hosts, mean)
		if candidates[i].Availability == route.Open {
			open++
		}
	}
	costs := &plainCosts
	if service.Kind == fleet.KindModel {
		costs = &modelCosts
	}
	hot := key != 0 && t.prefixCache.recordRequest(now, key)
	choice := route.ChooseLocal(key, rand.Uint64(), hot, tokens, candidates, costs)
	if choice.Target == route.None {
		return admission.Permit{}, t.refuse(&request, admission.RefusedNoTarget, t.explainNoTarget(view, list, candidates))
	}
	permit := t.grant(now, view, service, list[choice.Target], &candidates[choice.Target], &request, open, hosts)
	if choice.Home {
		permit.Reason = route.Home.String()
	}
	if choice.CacheSource != route.None && service.MovesCache && candidates[choice.Target].CachedTokens < tokens {
		permit.CacheFrom = list[choice.CacheSource].Address
	}
	return permit, nil
}

// promptKey returns the key that requests with the same shared prompt have in
// common, and the number of tokens of that prompt.
func (t *targetSelector) promptKey(request *admission.Request) (key uint64, tokens int) {
	prompt := request.Prompt
	if prompt == nil || len(prompt.Parts) == 0 {
		return 0, 0
	}
	// The last of several parts is specific to the request.
	shared := prompt.Parts[max(len(prompt.Parts)-2, 0)]
	for _, part := range prompt.Parts[:max(len(prompt.Parts)-1, 1)] {
		tokens += part.Tokens
	}
	return shared.Key, tokens
}

// describeCandidate describes a target for route.ChooseLocal. The caller must
// hold t.mu.
func (t *targetSelector) describeCandidate(now time.Time, s *targetState, view *registry.View, service *fleet.Service, request *admission.Request, hosts int, mean float64) route.LocalTarget {
	local := route.LocalTarget{
		Key:            xxhash.Sum64String(s.Name),
		SameDomain:     s.FailureDomain == t.entry.Settings.FailureDomain,
		Unhealthy:      s.isAvoided(now) || s.Silent && s.consecutiveFailures > 0,
		Slots:          s.Capacity,
		RecentlyJoined: now.Sub(s.firstSeen) < newTargetPeriod && s.firstSeen.Sub(t.firstTargetSeen) > startupSlack,
		FailureRate:    s.decayedFailureRate(now),
		AtCapacity:     now.Before(s.fullUntil) || s.isCold(now) && now.Before(t.nextColdRequest(s, service, hosts)),
	}
	local.Running, local.Waiting = s.estimateLoad(now, hosts, mean)
	if request.Prompt != nil {
		local.CachedTokens = t.prefixCache.cachedTokens(now, local.Key, request.Prompt.Parts)
	}
	switch {
	case s.State == roster.Gone:
		local.Availability = route.Gone
	case s.State != roster.Ready:
		local.Availability = route.Leaving
	case view.IsOutOfService(s.Name, s.FailureDomain):
		local.Availability = route.DomainOut
	case slices.Contains(request.Exclude, s.Name):
		local.Availability = route.Excluded
	}
	return local
}

// grant counts a request on a target and returns its permit. The caller must
// hold t.mu.
func (t *targetSelector) grant(now time.Time, view *registry.View, service *fleet.Service, s *targetState, local *route.LocalTarget, request *admission.Request, open, hosts int) admission.Permit {
	cold := s.isCold(now)
	if cold {
		s.nextColdRequestAt = now.Add(coldRequestInterval(service, hosts))
	}
	s.adjustInFlight(now, 1)
	if request.Prompt != nil {
		t.prefixCache.recordSent(now, local.Key, request.Prompt.Parts)
	}
	loadAge := time.Duration(-1)
	if !s.lastLoadAt.IsZero() {
		loadAge = now.Sub(s.lastLoadAt)
	}
	return admission.Permit{
		RequestID: request.ID, Host: request.Host, Service: request.Service, Workspace: request.Workspace,
		Target: s.Name, Incarnation: s.Incarnation, Address: s.Address, Resumes: true, Warm: local.CachedTokens > 0,
		Reason: route.LeastLoaded.String(),
		Inputs: &admission.DecisionInputs{
			FleetVersion: view.FleetVersion, Candidates: open, Running: local.Running, Waiting: local.Waiting,
			LoadReportAge: loadAge, OwnInFlight: s.ownInFlight, CachedTokens: local.CachedTokens, Cold: cold, LastSeenAge: now.Sub(s.LastSeen),
		},
	}
}

// explainNoTarget returns the message for a request without a target: how many
// targets were ruled out for each reason, and the versions that the decision is
// based on.
func (t *targetSelector) explainNoTarget(view *registry.View, list []*targetState, candidates []route.LocalTarget) string {
	counts := map[route.Reason]int{}
	if len(list) == 0 {
		return fmt.Sprintf("no target of the service has been heard of yet (fleet version %d)", view.FleetVersion)
	}
	full, overloaded := 0, 0
	for i := range candidates {
		counts[candidates[i].Availability]++
		switch {
		case candidates[i].Availability != route.Open:
		case candidates[i].AtCapacity:
			full++
		default:
			overloaded++
		}
	}
	return fmt.Sprintf("of %d targets %d leave, %d are out, %d were tried, %d are full or warming up, %d hold more than their part (fleet version %d, outage version %d)",
		len(list), counts[route.Leaving], counts[route.DomainOut], counts[route.Excluded], full, overloaded, view.FleetVersion, view.OutageVersion)
}

func (t *targetSelector) refuse(request *admission.Request, code admission.RefusalCode, message string) error {
	return &admission.Refusal{RequestID: request.ID, Code: code, Message: message, RetryAfter: noTargetRetryAfter}
}

// Release implements gateway.Admitter.
func (t *targetSelector) Release(release admission.Release) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byName[release.Target]
	if s == nil {
		return
	}
	s.adjustInFlight(now, -1)
	switch release.Outcome {
	case admission.OutcomeDone:
		s.recordSuccess(now)
	case admission.OutcomeRefused:
		s.fullUntil = now.Add(fullPeriod)
	case admission.OutcomeFailed, admission.OutcomeUnreachable:
		s.recordFailure(now, release.Outcome == admission.OutcomeUnreachable)
	}
}
