package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/route"
	"comfreytiller.dev/target/notice"
	"comfreytiller.dev/target/roster"
)

const (
	// newTargetPeriod is how long a target counts as recently joined. Targets
	// that this host learned of within startupSlack after the first one are
	// assumed to be older than this host and do not count.
	newTargetPeriod = 45 * time.Second
	startupSlack    = 3 * time.Second
	// movedPromptsPeriod is how long after it joined a target may lack prompts of which it
	// has become the home. It becomes their home after newTargetPeriod, and has most of
	// them within a minute.
	movedPromptsPeriod = newTargetPeriod + time.Minute
	// noTargetRetryAfter is the delay after which a caller may retry when no
	// target is available. A target that restarts or returns is in the roster
	// of this host within this time.
	noTargetRetryAfter = 700 * time.Millisecond
)

// modelCosts are the weights of a choice between model-serving targets. The
// weight of the prefill or transfer of a token is more than the time it takes,
// since it also slows all other requests on the target or its link.
var modelCosts = route.LocalCosts{
	PrefillToken:  100 * time.Microsecond,
	TransferToken: 20 * time.Microsecond,
	InFlight:      600 * time.Microsecond,
	Queued:        25 * time.Millisecond,
	CrossDomain:   8 * time.Millisecond,
	FailureRate:   250 * time.Millisecond,
	Unhealthy:     5 * time.Second,
	Overload:      time.Second,
}

// plainCosts are the weights of a choice between targets of plain services,
// whose requests take tens of milliseconds each on a few slots.
var plainCosts = route.LocalCosts{
	InFlight:    5 * time.Millisecond,
	Queued:      20 * time.Millisecond,
	CrossDomain: 5 * time.Millisecond,
	FailureRate: 100 * time.Millisecond,
	Unhealthy:   5 * time.Second,
	Overload:    20 * time.Millisecond,
}

// targetSelector chooses a target for each request. It implements
// gateway.Admitter.
type targetSelector struct {
	daemon *Entry
	log    *logrus.Logger
	clock  clockwork.Clock
	hosts  *hostCount

	mu        sync.Mutex
	byName    map[string]*targetState
	byService map[string][]*targetState
	throttles map[string]*route.Throttle
	// fair replaces throttles if the feature is on; nil otherwise.
	fair        *fairAdmission
	prefixCache *prefixCacheIndex
	roster      *roster.Table
	notices     *notice.Board
	reports     reportClock
	rollouts    *rolloutGuide
	// durations holds the mean duration of requests by service, demand the rate of
	// requests of this host.
	durations map[string]time.Duration
	demand    map[string]*demandRate
	// firstTargetSeen is when this host learned of its first target.
	firstTargetSeen time.Time

	leavingNotices tally.Counter
	pauseNotices   tally.Counter
	// malformedLoads counts the load headers that were ignored.
	malformedLoads tally.Counter
	// otherCacheSources counts the cache sources that are not the home of the prompt.
	otherCacheSources tally.Counter
	// promptSizes holds those of each service.
	promptSizes map[string]*promptSizes
	// candidates is the memory in which each decision describes its targets.
	candidates []route.LocalTarget
	// responseTimes holds those of each service.
	responseTimes map[string]*route.ServiceTimes
	// measuredSlowdowns is the histogram of the slowdowns of targets by their response
	// times.
	measuredSlowdowns tally.Histogram
}

func newTargetSelector(e *Entry) *targetSelector {
	t := &targetSelector{
		daemon: e, log: logs.ForComponent(e.Log, "Target"), clock: e.Clock, hosts: &hostCount{clock: e.Clock},
		byName: map[string]*targetState{}, byService: map[string][]*targetState{}, throttles: map[string]*route.Throttle{}, durations: map[string]time.Duration{}, demand: map[string]*demandRate{}, prefixCache: newPrefixCacheIndex(), roster: roster.NewTable(),
		notices: notice.NewBoard(), rollouts: newRolloutGuide(e), leavingNotices: e.Scope.Counter("targets_leaving_in_response"), pauseNotices: e.Scope.Counter("target_pauses"),
		malformedLoads:    e.Scope.Counter("malformed_target_loads"),
		otherCacheSources: e.Scope.Counter("cache_sources_beside_home"), promptSizes: map[string]*promptSizes{}, responseTimes: map[string]*route.ServiceTimes{}, measuredSlowdowns: e.Scope.Histogram("measured_target_slowdown", slowdownBuckets),
	}
	if e.Protocol.EnabledFeatures(e.Settings.Features).FairAdmission {
		t.fair = newFairAdmission(e)
	}
	return t
}

// Acquire implements gateway.Admitter. It decides without waiting, unless admission is
// fair.
func (t *targetSelector) Acquire(ctx context.Context, request admission.Request) (admission.Permit, error) {
	waited := time.Duration(0)
	if t.fair != nil {
		var err error
		if waited, err = t.fair.await(ctx, &request); err != nil {
			return admission.Permit{}, err
		}
	}
	current := t.daemon.view.current.Load()
	if current == nil {
		return admission.Permit{}, t.refuse(&request, admission.RefusedNoTarget, "no fleet is in force yet")
	}
	view := current.View
	now := t.clock.Now()
	if err := t.daemon.crashes.check(now, &request, func() bool { return t.hasSpareTarget(request.Service) }); err != nil {
		return admission.Permit{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.byService[request.Service]
	service := current.service(request.Service)
	if service == nil {
		service = request.ServiceConfig
	}
	if service == nil {
		return admission.Permit{}, t.refuse(&request, admission.RefusedUnknownService, "no service "+request.Service)
	}
	if throttle := t.throttles[request.Service]; throttle != nil && len(request.Exclude) == 0 && !throttle.Admits(rand.Uint64()) {
		return admission.Permit{}, t.refuseQueueFull(&request, throttle.AdmitRate())
	}
	if present := t.hosts.starting(); present > 0 && len(request.Exclude) == 0 {
		if refusal := t.refuseWhileStarting(now, view, service, &request, list, present); refusal != nil {
			return admission.Permit{}, refusal
		}
	}
	t.recordDemand(now, request.Service)
	loads := t.serviceLoads(now, request.Service, list)
	loads.room = t.engineRoom(service)
	key, tokens := t.promptKey(&request)
	candidates := t.candidateBuffer(len(list))
	available := 0
	for i, s := range list {
		candidates[i] = t.describeCandidate(now, s, view, service, &request, loads)
		if candidates[i].Availability == route.Available {
			available++
		}
	}
	costs := &plainCosts
	if service.Kind == fleet.KindModel {
		costs = &modelCosts
	}
	traffic := route.Traffic{ReportAge: loads.reportAge, Duration: loads.duration}
	if key != 0 {
		traffic.PromptRate = t.prefixCache.recordRequest(now, key) * float64(loads.hosts)
	}
	choice := t.chooseVersion(view, &request, key, list, candidates, func() route.LocalChoice {
		defer t.spread(service, list, candidates)()
		return route.ChooseLocal(key, rand.Uint64(), traffic, tokens, candidates, costs)
	})
	if choice.Target == route.None {
		if refusal := t.refusePaused(now, &request, list, candidates); refusal != nil {
			return admission.Permit{}, refusal
		}
		return admission.Permit{}, t.refuse(&request, admission.RefusedNoTarget, t.explainNoTarget(view, &request, list, candidates))
	}
	permit := t.grant(now, view, service, list[choice.Target], &candidates[choice.Target], &request, available, loads)
	permit.Waited = waited
	if choice.Home {
		permit.Reason = route.Home.String()
	}
	if service.MovesCache && candidates[choice.Target].CachedTokens < tokens {
		permit.CacheSource = t.findCacheSource(&request, key, tokens, choice, list, candidates)
	}
	return permit, nil
}

// promptKey returns the key that requests with the same shared prefix have in
// common, and the number of tokens of that prefix.
func (t *targetSelector) promptKey(request *admission.Request) (key uint64, tokens int) {
	prompt := request.Prompt
	if prompt == nil || len(prompt.Parts) == 0 {
		return 0, 0
	}
	// The last part is specific to the request if there is more than one.
	shared := prompt.Parts[max(len(prompt.Parts)-2, 0)]
	for _, part := range prompt.Parts[:max(len(prompt.Parts)-1, 1)] {
		tokens += part.Tokens
	}
	return shared.Key, tokens
}

// describeCandidate describes a target for route.ChooseLocal. The caller must
// hold t.mu.
func (t *targetSelector) describeCandidate(now time.Time, s *targetState, view *registry.View, service *fleet.Service, request *admission.Request, loads serviceLoads) route.LocalTarget {
	local := route.LocalTarget{
		Key:            s.nameKey(),
		SameDomain:     s.FailureDomain == t.daemon.Settings.FailureDomain,
		Unhealthy:      s.isAvoided(now) || s.Silent && s.consecutiveFailures > 0,
		Slots:          s.Capacity,
		RecentlyJoined: now.Sub(s.firstSeen) < newTargetPeriod && s.firstSeen.Sub(t.firstTargetSeen) > startupSlack,
		JoinedLately:   now.Sub(s.firstSeen) < movedPromptsPeriod && s.firstSeen.Sub(t.firstTargetSeen) > startupSlack,
		FailureRate:    s.decayedFailureRate(now),
		RateLimited:    s.limit.IsLimited,
		AtCapacity:     now.Before(s.atCapacityUntil) || !s.hasSlot(now, loads) || t.isPaused(now, s) || s.isCold(now) && now.Before(t.earliestColdRequest(s, service, loads.hosts)),
	}
	local.InFlight, local.Queued = s.estimateLoad(now, loads)
	t.describeSpeed(now, s, service, &local)
	local.SlotsInUse = s.hasReportedLoad(now) && s.Capacity > 0 && local.InFlight+1 > float64(s.Capacity)
	if request.Prompt != nil {
		local.CachedTokens = t.prefixCache.cachedTokens(now, s.cacheKey(local.Key), request.Prompt.Parts)
	}
	s.describeRoom(now, &loads.room, request, &local)
	switch {
	case s.State == roster.Gone:
		local.Availability = route.Gone
	case s.State != roster.Ready, t.notices.IsLeaving(s.Name, s.Incarnation):
		local.Availability = route.Leaving
	case view.IsOutOfService(s.Name, s.FailureDomain):
		local.Availability = route.DomainOut
	case slices.Contains(request.Exclude, s.Name):
		local.Availability = route.Excluded
	case request.RequiresVersion && s.Version != request.Version:
		local.Availability = route.OtherVersion
	}
	return local
}

// grant counts a request as in flight on a target and returns its permit.
// available is the number of candidates that it was chosen from. The caller
// must hold t.mu.
func (t *targetSelector) grant(now time.Time, view *registry.View, service *fleet.Service, s *targetState, local *route.LocalTarget, request *admission.Request, available int, loads serviceLoads) admission.Permit {
	cold := s.isCold(now)
	if cold {
		s.nextColdRequestAt = now.Add(coldRequestInterval(service, loads.hosts))
	}
	s.useSlot(now, loads)
	s.adjustInFlight(now, 1)
	s.speed.told.RecordSent()
	if request.Prompt != nil {
		t.prefixCache.recordSent(now, s.cacheKey(local.Key), request.Prompt.Parts)
		t.recordPrompt(now, s, service, request.Prompt, local.CachedTokens)
	}
	loadAge := time.Duration(-1)
	if !s.lastLoadAt.IsZero() {
		loadAge = now.Sub(s.lastLoadAt)
	}
	return admission.Permit{
		RequestID: request.ID, Host: request.Host, Service: request.Service, Workspace: request.Workspace,
		Target: s.Name, Incarnation: s.Incarnation, Version: s.Version, Address: s.Address, SupportsResume: true, Warm: local.CachedTokens > 0,
		Reason: route.LeastLoaded.String(),
		Inputs: &admission.DecisionInputs{
			FleetVersion: view.FleetVersion, Candidates: available, InFlight: local.InFlight, Queued: local.Queued,
			LoadReportAge: loadAge, OwnInFlight: s.ownInFlight, CachedTokens: local.CachedTokens, Cold: cold, LastSeenAge: now.Sub(s.LastSeen),
			Slowdown: local.Slowdown, ToldSlowdown: s.lastLoad.Slowdown, MeasuredSlowdown: s.speed.measured, HeldTokens: loads.room.HeldTokens(local.InFlight),
		},
	}
}

// explainNoTarget returns the message for a request without a target: how many
// targets were ruled out for each reason, and the versions that the decision is
// based on.
func (t *targetSelector) explainNoTarget(view *registry.View, request *admission.Request, list []*targetState, candidates []route.LocalTarget) string {
	counts := map[route.Reason]int{}
	if len(list) == 0 {
		return fmt.Sprintf("no target of the service has been heard of yet (fleet version %d)", view.FleetVersion)
	}
	atCapacity, overloaded := 0, 0
	for i := range candidates {
		counts[candidates[i].Availability]++
		switch {
		case candidates[i].Availability != route.Available:
		case candidates[i].AtCapacity:
			atCapacity++
		default:
			overloaded++
		}
	}
	message := fmt.Sprintf("of %d targets %d leave, %d are out, %d were tried, %d are full or warming up, %d hold more than their part (fleet version %d, outage version %d)",
		len(list), counts[route.Leaving], counts[route.DomainOut], counts[route.Excluded], atCapacity, overloaded, view.FleetVersion, view.OutageVersion)
	if request.RequiresVersion {
		message += fmt.Sprintf(", %d have another version than %q", counts[route.OtherVersion], request.Version)
	}
	return message
}

func (t *targetSelector) refuse(request *admission.Request, code admission.RefusalCode, message string) error {
	return &admission.Refusal{RequestID: request.ID, Code: code, Message: message, RetryAfter: t.fair.spreadPause(noTargetRetryAfter, request.Deadline)}
}

// Release implements gateway.Admitter.
func (t *targetSelector) Release(release admission.Release) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fair != nil {
		t.fair.recordRelease(now, &release)
	}
	s := t.byName[release.Target]
	if s == nil {
		return
	}
	t.daemon.crashes.record(now, &release, s.Address)
	s.adjustInFlight(now, -1)
	t.recordOutcome(&release, s)
	switch release.Outcome {
	case admission.OutcomeDone:
		s.recordSuccess(now)
		t.recordWorkTime(now, s, &release)
		if release.Duration > 0 {
			t.durations[release.Service] = movingAverage(t.durations[release.Service], release.Duration, durationWeight)
		}
	case admission.OutcomeRefused:
		s.atCapacityUntil = now.Add(atCapacityPeriod)
	case admission.OutcomeFailed, admission.OutcomeUnreachable:
		s.recordFailure(now, release.Outcome == admission.OutcomeUnreachable)
	}
}
