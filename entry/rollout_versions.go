package entry

import (
	"comfreytiller.dev/registry"
	"comfreytiller.dev/route"
)

// versionLimits marks the candidates of a request that their version rules out. All hosts with
// the same view and roster mark the same ones.
type versionLimits struct {
	guide   *rolloutGuide
	service string
	// rollout is nil if the service never had one.
	rollout    *registry.Rollout
	list       []*targetState
	candidates []route.LocalTarget
}

// isReady reports whether a candidate takes requests, maybe not this one.
func (l *versionLimits) isReady(i int) bool {
	switch l.candidates[i].Availability {
	case route.Available, route.Excluded, route.OtherVersion:
		return true
	}
	return false
}

// keepOnly rules out the candidates that allowed does not accept.
func (l *versionLimits) keepOnly(allowed func(i int) bool) {
	for i := range l.candidates {
		if l.candidates[i].Availability == route.Available && !allowed(i) {
			l.candidates[i].Availability = route.OtherVersion
		}
	}
}

func (l *versionLimits) isNew(i int) bool { return l.list[i].Version == l.rollout.Version }

func (l *versionLimits) isForbidden(i int) bool {
	return l.rollout != nil && l.rollout.Forbids(l.list[i].Version)
}

func (l *versionLimits) isEstablished(i int) bool {
	return !l.isForbidden(i) && l.guide.isEstablished(l.service, l.list[i].Version)
}

// isPreferred reports whether some target that is ready is accepted by preferred.
func (l *versionLimits) isPreferred(preferred func(i int) bool) bool {
	for i := range l.candidates {
		if l.isReady(i) && preferred(i) {
			return true
		}
	}
	return false
}

// forbid rules out the versions that were reverted.
func (l *versionLimits) forbid() {
	l.keepOnly(func(i int) bool { return !l.isForbidden(i) })
}

// allowEstablished rules out the versions that were reverted and, while a target of an
// established one is ready, those that wait for a rollout.
func (l *versionLimits) allowEstablished() {
	if l.isPreferred(l.isEstablished) {
		l.keepOnly(l.isEstablished)
		return
	}
	l.forbid()
}

// allowNewFirst rules out all versions but the new one while a target of that is ready.
func (l *versionLimits) allowNewFirst() {
	if l.isPreferred(l.isNew) {
		l.keepOnly(l.isNew)
		return
	}
	l.forbid()
}

// allowOthers rules out the new version and those that may not serve.
func (l *versionLimits) allowOthers() {
	isOther := func(i int) bool { return !l.isNew(i) && l.isEstablished(i) }
	if l.isPreferred(isOther) {
		l.keepOnly(isOther)
		return
	}
	l.keepOnly(func(i int) bool { return !l.isNew(i) && !l.isForbidden(i) })
}

// allowCanaries rules out all but the new targets that take requests at the share. It reports
// whether there are any.
func (l *versionLimits) allowCanaries() bool {
	targets, newTargets, others := uint64(0), 0, 0
	for i := range l.candidates {
		switch {
		case !l.isReady(i):
		case l.isNew(i):
			targets += route.Score(l.candidates[i].Key, 1)
			newTargets++
		default:
			others++
		}
	}
	if newTargets == 0 {
		return false
	}
	canaries := l.guide.canaries[l.service]
	if canaries == nil {
		canaries = &canarySet{}
		l.guide.canaries[l.service] = canaries
	}
	r := l.rollout
	if canaries.number != r.Number || canaries.share != r.Share || canaries.targets != targets || canaries.newTargets != newTargets || canaries.others != others {
		var keys []uint64
		for i := range l.candidates {
			if l.isReady(i) && l.isNew(i) {
				keys = append(keys, l.candidates[i].Key)
			}
		}
		canaries.update(r, targets, others, keys)
	}
	l.keepOnly(func(i int) bool {
		return l.isNew(i) && route.Score(l.candidates[i].Key, r.Number) >= canaries.lowestScore
	})
	return true
}

// restore takes back what was ruled out of a request that may run at any version.
func (l *versionLimits) restore() {
	for i := range l.candidates {
		if l.candidates[i].Availability == route.OtherVersion {
			l.candidates[i].Availability = route.Available
		}
	}
}
