package entry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/admission/rollout"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/route"
)

// rolloutGuide keeps the requests of a service to the software versions that its rollout
// allows.
//
// Load: the targets of a new version announce themselves beside the old ones, some before the
// order of the rollout has come here, and it is not known yet whether they are bad.
type rolloutGuide struct {
	// holdsBack is set if versions that come up need a rollout.
	holdsBack bool
	observer  *rollout.Observer

	// The fields below are guarded by targetSelector.mu.
	assignments map[string]*rollout.Assignment
	canaries    map[string]*canarySet
	// established holds by service the versions that may serve without a rollout: those that
	// this host found when it started, and those of complete rollouts.
	established map[string]map[string]bool
}

func newRolloutGuide(e *Entry) *rolloutGuide {
	return &rolloutGuide{
		holdsBack: e.Settings.Rollouts != nil, observer: rollout.NewObserver(),
		assignments: map[string]*rollout.Assignment{}, canaries: map[string]*canarySet{}, established: map[string]map[string]bool{},
	}
}

// noteVersions notes the versions of the targets. isStartup is set while the targets are those
// that this host found when it started. The caller must hold targetSelector.mu.
func (g *rolloutGuide) noteVersions(isStartup bool, byService map[string][]*targetState) {
	if !g.holdsBack {
		return
	}
	for service, list := range byService {
		versions := g.established[service]
		if !isStartup && len(versions) > 0 {
			continue
		}
		if versions == nil {
			versions = map[string]bool{}
			g.established[service] = versions
		}
		for _, s := range list {
			versions[s.Version] = true
		}
	}
}

// applyRollouts notes the versions of complete rollouts.
func (t *targetSelector) applyRollouts(view *registry.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, r := range view.Rollouts {
		if r.State == registry.RolloutComplete {
			t.rollouts.completed(service, r.Version)
		}
	}
}

// completed notes that a rollout is complete.
func (g *rolloutGuide) completed(service, version string) {
	if versions := g.established[service]; len(versions) != 1 || !versions[version] {
		g.established[service] = map[string]bool{version: true}
	}
}

// isEstablished reports whether a version may serve without a rollout.
func (g *rolloutGuide) isEstablished(service, version string) bool {
	return !g.holdsBack || g.established[service][version]
}

// isUnused reports whether a target takes none or few of the requests because of its version.
func (g *rolloutGuide) isUnused(view *registry.View, s *targetState) bool {
	if view == nil {
		return false
	}
	r, exists := view.Rollouts[s.Service]
	switch {
	case !exists:
		return !g.isEstablished(s.Service, s.Version)
	case r.Forbids(s.Version):
		return true
	case r.State == registry.RolloutReverted:
		return !g.isEstablished(s.Service, s.Version)
	}
	return (s.Version == r.Version) == (r.Share < 1)
}

// chooseVersion chooses a target among those that the rollout of the service allows for the
// request. choose chooses among the candidates that are available. The caller must hold t.mu.
func (t *targetSelector) chooseVersion(view *registry.View, request *admission.Request, key uint64, list []*targetState, candidates []route.LocalTarget, choose func() route.LocalChoice) route.LocalChoice {
	r, exists := view.Rollouts[request.Service]
	if !exists && !t.rollouts.holdsBack {
		return choose()
	}
	limits := versionLimits{guide: t.rollouts, service: request.Service, list: list, candidates: candidates}
	if exists {
		limits.rollout = &r
	}
	var choice route.LocalChoice
	switch {
	case !exists || r.State == registry.RolloutReverted:
		limits.allowEstablished()
		choice = choose()
	case r.State == registry.RolloutComplete || r.Share >= 1:
		limits.allowNewFirst()
		choice = choose()
	case request.RequiresVersion:
		limits.forbid()
		choice = choose()
	default:
		choice = t.chooseShare(&limits, request, key, choose)
	}
	if choice.Target == route.None {
		return choice
	}
	if source := choice.CacheSource; source != route.None && list[source].Version != list[choice.Target].Version {
		choice.CacheSource = route.None
	}
	if exists && r.State == registry.RolloutServing {
		t.recordAssigned(&r, request, list[choice.Target].Version == r.Version)
	}
	return choice
}

// chooseShare chooses a target of the new version if the request belongs to its share, and
// otherwise one of the others.
func (t *targetSelector) chooseShare(limits *versionLimits, request *admission.Request, key uint64, choose func() route.LocalChoice) route.LocalChoice {
	r := limits.rollout
	if isFirst(request) && t.rollouts.assignment(request.Service, r.Number).Prefers(r.Share, r.PromptShare, key) {
		if limits.allowCanaries() {
			if choice := choose(); choice.Target != route.None {
				return choice
			}
		}
		limits.restore()
	}
	limits.allowOthers()
	return choose()
}

// isFirst reports whether a request is sent for the first time.
func isFirst(request *admission.Request) bool {
	return request.Attempt <= 1 && len(request.Exclude) == 0
}

// assignment returns the assignment of a service's rollout.
func (g *rolloutGuide) assignment(service string, number uint64) *rollout.Assignment {
	assignment := g.assignments[service]
	if assignment == nil {
		assignment = &rollout.Assignment{}
		g.assignments[service] = assignment
	}
	if assignment.Number() != number {
		assignment.Reset(number, rand.Uint64())
	}
	return assignment
}

// recordAssigned records that a request is sent to a target. The caller must hold t.mu.
func (t *targetSelector) recordAssigned(r *registry.Rollout, request *admission.Request, isNew bool) {
	if isFirst(request) {
		t.rollouts.assignment(request.Service, r.Number).Record(r.Share, isNew, rand.Uint64())
		t.rollouts.observer.RecordRequest(request.Service, r.Number, isNew)
	} else if isNew {
		t.rollouts.observer.RecordExposed(request.Service, r.Number)
	}
}

// servingRollout returns the rollout of a service while it is serving; nil otherwise.
func (t *targetSelector) servingRollout(service string) *registry.Rollout {
	view := t.daemon.view.latest()
	if view == nil {
		return nil
	}
	if r, exists := view.Rollouts[service]; exists && r.State == registry.RolloutServing {
		return &r
	}
	return nil
}

// recordFirstByte records that a response has begun.
func (t *targetSelector) recordFirstByte(permit admission.Permit, call string, firstByte time.Duration) {
	t.daemon.crashes.recordFirstByte(permit.RequestID)
	if r := t.servingRollout(permit.Service); r != nil {
		t.rollouts.observer.RecordFirstByte(permit.Service, r.Number, call, permit.Version == r.Version, firstByte)
	}
}

// recordOutcome records for the rollout of the service how a request ended. The caller must
// hold t.mu.
func (t *targetSelector) recordOutcome(release *admission.Release, s *targetState) {
	r := t.servingRollout(release.Service)
	if r == nil {
		return
	}
	isNew, observer := s.Version == r.Version, t.rollouts.observer
	switch release.Outcome {
	case admission.OutcomeDone:
		if release.Status >= fasthttp.StatusInternalServerError {
			observer.RecordFailure(release.Service, r.Number, release.Route, isNew, rollout.Failure{HadFirstByte: true})
		}
	case admission.OutcomeFailed:
		failure := rollout.Failure{HadFirstByte: release.FirstByte > 0, IsLost: release.ConnectionLost}
		observer.RecordFailure(release.Service, r.Number, release.Route, isNew, failure)
	case admission.OutcomeRefused, admission.OutcomeUnsent, admission.OutcomeUnreachable:
		observer.RecordNotRun(release.Service, r.Number, release.Route, isNew)
	case admission.OutcomeCancelled:
		// It tells nothing of the target.
	}
}

// canarySet is the selection of the new targets that take requests while the share is small.
// It is computed again when its inputs change.
type canarySet struct {
	number      uint64
	share       float64
	targets     uint64
	newTargets  int
	others      int
	lowestScore uint64
}

// update computes the selection. keys are the keys of the new targets that are ready.
func (c *canarySet) update(r *registry.Rollout, targets uint64, others int, keys []uint64) {
	scores := make([]uint64, 0, len(keys))
	for _, key := range keys {
		scores = append(scores, route.Score(key, r.Number))
	}
	slices.SortFunc(scores, func(a, b uint64) int { return cmp.Compare(b, a) })
	size := rollout.CanarySize(r.Share, len(keys), others)
	*c = canarySet{number: r.Number, share: r.Share, targets: targets, newTargets: len(keys), others: others, lowestScore: scores[size-1]}
}
