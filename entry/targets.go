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
	// youngLasts is how long a target counts as new. youngSlack tells it from those that this
	// host heard of at its own start.
	youngLasts = 45 * time.Second
	youngSlack = 3 * time.Second
	// noTargetRetry is when a caller may find a target again: within it a target
	// that restarts or returns has been heard of.
	noTargetRetry = 700 * time.Millisecond
)

// engineCosts are the weights of a choice between engines. Reading or copying
// tokens weighs more than its time, since it takes from all others on the engine
// or its link.
var engineCosts = route.LocalCosts{
	Token:    100 * time.Microsecond,
	Fetch:    20 * time.Microsecond,
	Running:  600 * time.Microsecond,
	Waiting:  25 * time.Millisecond,
	Far:      8 * time.Millisecond,
	Failing:  250 * time.Millisecond,
	Doubtful: 5 * time.Second,
	Over:     time.Second,
}

// plainCosts are those between plain services, whose requests take tens of
// milliseconds each on a few slots.
var plainCosts = route.LocalCosts{
	Running:  5 * time.Millisecond,
	Waiting:  20 * time.Millisecond,
	Far:      5 * time.Millisecond,
	Failing:  100 * time.Millisecond,
	Doubtful: 5 * time.Second,
	Over:     20 * time.Millisecond,
}

// targets decides where requests go. It implements gateway.Admitter.
type targets struct {
	entry *Entry
	log   *logrus.Logger
	clock clockwork.Clock
	hosts *hostCount

	mu        sync.Mutex
	byName    map[string]*known
	byService map[string][]*known
	throttles map[string]*route.Throttle
	kept      *keptParts
	table     *roster.Table
	// firstHeard is when this host first heard of any target.
	firstHeard time.Time
}

func newTargets(e *Entry) *targets {
	return &targets{
		entry: e, log: logs.ForComponent(e.Log, "Target"), clock: e.Clock, hosts: &hostCount{clock: e.Clock},
		byName: map[string]*known{}, byService: map[string][]*known{}, throttles: map[string]*route.Throttle{}, kept: newKeptParts(), table: roster.NewTable(),
	}
}

// count returns the number of targets that may take work.
func (t *targets) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	ready := 0
	for _, k := range t.byName {
		if k.State == roster.Ready {
			ready++
		}
	}
	return ready
}

// take takes what a hub tells.
func (t *targets) take(entries []roster.Entry, hosts int) {
	t.hosts.take(hosts)
	if len(entries) == 0 {
		return
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstHeard.IsZero() {
		t.firstHeard = now
	}
	for _, entry := range entries {
		t.table.Take(now, entry)
	}
	all, _ := t.table.Since(0)
	for _, entry := range all {
		t.update(now, entry)
	}
	t.index()
}

// update takes an entry of the table; the lock is held.
func (t *targets) update(now time.Time, entry roster.Entry) {
	k := t.byName[entry.Name]
	switch {
	case k == nil && entry.State == roster.Gone:
		return
	case k == nil || k.Incarnation != entry.Incarnation:
		fresh := &known{Entry: entry, firstHeard: now, coldAt: now}
		if k != nil {
			fresh.own = k.own
		}
		t.byName[entry.Name] = fresh
		t.logChange(entry)
		return
	}
	if k.State != entry.State || k.Silent != entry.Silent || k.Address != entry.Address {
		t.logChange(entry)
	}
	if !k.cold(now) {
		k.coldAt = now
	}
	k.Entry = entry
}

func (t *targets) logChange(entry roster.Entry) {
	t.log.WithFields(logrus.Fields{
		"Target": entry.Name, "Address": entry.Address, "FailureDomain": entry.FailureDomain, "Service": entry.Service,
		"State": entry.State, "Silent": entry.Silent, "WarmUp": entry.WarmUp, "Incarnation": entry.Incarnation,
		"HeardAge": t.clock.Since(entry.Heard),
	}).Infof("Target %s is %s.", entry.Name, entry.State)
}

// index sorts the targets by service; the lock is held.
func (t *targets) index() {
	t.byService = map[string][]*known{}
	for name, k := range t.byName {
		if k.State == roster.Gone && k.own == 0 {
			delete(t.byName, name)
			continue
		}
		t.byService[k.Service] = append(t.byService[k.Service], k)
	}
	for _, list := range t.byService {
		slices.SortFunc(list, func(a, b *known) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
	}
}

// own returns this host's requests by target.
func (t *targets) own() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own map[string]int
	for name, k := range t.byName {
		if k.own == 0 {
			continue
		}
		if own == nil {
			own = map[string]int{}
		}
		own[name] = k.own
	}
	return own
}

// takeLoads takes the requests of all hosts, in which told are this one's. The
// mean stands for targets that are not named.
func (t *targets) takeLoads(total map[string]int, mean float64, told map[string]int) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.throttle(now)
	for name, k := range t.byName {
		running, named := total[name]
		elsewhere := float64(running - told[name])
		if !named {
			elsewhere = mean - float64(told[name])
		}
		k.elsewhere, k.elsewhereAt = max(elsewhere, 0), now
	}
}

// told takes a target's word on its load.
func (t *targets) told(name string, load target.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.byName[name]; k != nil {
		k.told(t.clock.Now(), load)
	}
}

// Acquire implements gateway.Admitter: it decides at once.
func (t *targets) Acquire(_ context.Context, request admission.Request) (admission.Permit, error) {
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
		return admission.Permit{}, t.refuseFull(&request, throttle.Share())
	}
	hosts := t.hosts.count()
	mean := meanOthers(now, list)
	key, tokens := t.prompt(&request)
	candidates := make([]route.Local, len(list))
	open := 0
	for i, k := range list {
		candidates[i] = t.candidate(now, k, view, service, &request, hosts, mean)
		if candidates[i].Closed == route.Open {
			open++
		}
	}
	costs := &plainCosts
	if service.Kind == fleet.KindModel {
		costs = &engineCosts
	}
	hot := key != 0 && t.kept.hot(now, key)
	choice := route.ChooseLocal(key, rand.Uint64(), hot, tokens, candidates, costs)
	if choice.Target == route.None {
		return admission.Permit{}, t.refuse(&request, admission.RefusedNoTarget, t.why(view, list, candidates))
	}
	permit := t.grant(now, view, service, list[choice.Target], &candidates[choice.Target], &request, open, hosts)
	if choice.Home {
		permit.Reason = route.Home.String()
	}
	if choice.Holder != route.None && service.MovesCache && candidates[choice.Target].Kept < tokens {
		permit.CacheFrom = list[choice.Holder].Address
	}
	return permit, nil
}

// prompt returns the key under which requests with the same prompt meet, and the
// prompt's length.
func (t *targets) prompt(request *admission.Request) (key uint64, tokens int) {
	prompt := request.Prompt
	if prompt == nil || len(prompt.Parts) == 0 {
		return 0, 0
	}
	// The last part is the request's own where there are others before it.
	shared := prompt.Parts[max(len(prompt.Parts)-2, 0)]
	for _, part := range prompt.Parts[:max(len(prompt.Parts)-1, 1)] {
		tokens += part.Tokens
	}
	return shared.Key, tokens
}

// candidate describes a target for a choice; the lock is held.
func (t *targets) candidate(now time.Time, k *known, view *registry.View, service *fleet.Service, request *admission.Request, hosts int, mean float64) route.Local {
	local := route.Local{
		Key:      xxhash.Sum64String(k.Name),
		Near:     k.FailureDomain == t.entry.Settings.FailureDomain,
		Doubtful: k.doubtful(now) || k.Silent && k.failures > 0,
		Slots:    k.Capacity,
		Young:    now.Sub(k.firstHeard) < youngLasts && k.firstHeard.Sub(t.firstHeard) > youngSlack,
		Failing:  k.failingShare(now),
		Full:     now.Before(k.fullUntil) || k.cold(now) && now.Before(t.nextCold(k, service, hosts)),
	}
	local.Running, local.Waiting = k.estimate(now, hosts, mean)
	if request.Prompt != nil {
		local.Kept = t.kept.tokens(now, local.Key, request.Prompt.Parts)
	}
	switch {
	case k.State == roster.Gone:
		local.Closed = route.Gone
	case k.State != roster.Ready:
		local.Closed = route.Leaving
	case view.IsOut(k.Name, k.FailureDomain):
		local.Closed = route.DomainOut
	case slices.Contains(request.Exclude, k.Name):
		local.Closed = route.Excluded
	}
	return local
}

// grant counts a request on a target; the lock is held.
func (t *targets) grant(now time.Time, view *registry.View, service *fleet.Service, k *known, local *route.Local, request *admission.Request, open, hosts int) admission.Permit {
	cold := k.cold(now)
	if cold {
		k.nextCold = now.Add(coldInterval(service, hosts))
	}
	k.count(now, 1)
	if request.Prompt != nil {
		t.kept.add(now, local.Key, request.Prompt.Parts)
	}
	loadAge := time.Duration(-1)
	if !k.loadAt.IsZero() {
		loadAge = now.Sub(k.loadAt)
	}
	return admission.Permit{
		RequestID: request.ID, Host: request.Host, Service: request.Service, Workspace: request.Workspace,
		Target: k.Name, Incarnation: k.Incarnation, Address: k.Address, Resumes: true, Warm: local.Kept > 0,
		Reason: route.LeastLoaded.String(),
		Inputs: &admission.Inputs{
			FleetVersion: view.FleetVersion, Candidates: open, Running: local.Running, Waiting: local.Waiting,
			LoadAge: loadAge, Own: k.own, Kept: local.Kept, Cold: cold, HeardAge: now.Sub(k.Heard),
		},
	}
}

// why tells why no target was chosen, with what the decision rests on.
func (t *targets) why(view *registry.View, list []*known, candidates []route.Local) string {
	counts := map[route.Reason]int{}
	if len(list) == 0 {
		return fmt.Sprintf("no target of the service has been heard of yet (fleet version %d)", view.FleetVersion)
	}
	full, crowded := 0, 0
	for i := range candidates {
		counts[candidates[i].Closed]++
		switch {
		case candidates[i].Closed != route.Open:
		case candidates[i].Full:
			full++
		default:
			crowded++
		}
	}
	return fmt.Sprintf("of %d targets %d leave, %d are out, %d were tried, %d are full or warming up, %d hold more than their part (fleet version %d, outage version %d)",
		len(list), counts[route.Leaving], counts[route.DomainOut], counts[route.Excluded], full, crowded, view.FleetVersion, view.OutageVersion)
}

func (t *targets) refuse(request *admission.Request, code admission.RefusalCode, message string) error {
	return &admission.Refusal{RequestID: request.ID, Code: code, Message: message, RetryAfter: noTargetRetry}
}

// Release implements gateway.Admitter.
func (t *targets) Release(release admission.Release) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.byName[release.Target]
	if k == nil {
		return
	}
	k.count(now, -1)
	switch release.Outcome {
	case admission.OutcomeDone:
		k.succeeded(now)
	case admission.OutcomeRefused:
		k.fullUntil = now.Add(fullLasts)
	case admission.OutcomeFailed, admission.OutcomeUnreachable:
		k.failed(now, release.Outcome == admission.OutcomeUnreachable)
	}
}
