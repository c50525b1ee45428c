package route

// targetTotals are sums over the targets of a service, collected in one pass.
type targetTotals struct {
	// admitting is the number of targets that admit new requests, inFlight the sum of what
	// is in flight on them; the others are those of them without a rate limit.
	admitting         int
	inFlight          float64
	unlimited         int
	unlimitedInFlight float64
	// present is the number of targets that are not gone, presentSum what is in flight on
	// them.
	present    int
	presentSum float64
	// slots is the sum of the slots of the slotted targets, which have no rate limit and a
	// known number of slots.
	slots   int
	slotted int
	// atCapacity is set if a target without a rate limit that admits new requests is at
	// capacity, hasEstablished if one that admits them is healthy and did not join
	// recently.
	atCapacity     bool
	hasEstablished bool
	// slowdowns is the sum of the slowdowns of the admitting targets, those without one
	// counted as 1. hasSlowdown is set if any has one, sharesFigures if other hosts know it.
	slowdowns     float64
	hasSlowdown   bool
	sharesFigures bool
}

// sumTargets collects the sums over targets. It keeps the sums in local variables, which
// takes half of the time.
func sumTargets(targets []LocalTarget) targetTotals {
	var inFlight, unlimitedInFlight, presentSum, slowdowns float64
	var admitting, unlimited, present, slots, slotted, withSlowdown int
	var s targetTotals
	for i := range targets {
		target := &targets[i]
		if target.Availability == Gone {
			continue
		}
		present++
		presentSum += target.InFlight
		if target.Availability != Available {
			continue
		}
		admitting++
		inFlight += target.InFlight
		if !target.RateLimited {
			unlimited++
			unlimitedInFlight += target.InFlight
			if target.AtCapacity {
				s.atCapacity = true
			}
			if target.Slots > 0 {
				slots += target.Slots
				slotted++
			}
		}
		if !target.RecentlyJoined && !target.Unhealthy {
			s.hasEstablished = true
		}
		if target.Slowdown != 0 {
			withSlowdown++
			slowdowns += ClampSlowdown(target.Slowdown)
			s.sharesFigures = s.sharesFigures || target.SharedFigure
		}
	}
	s.admitting, s.inFlight, s.unlimited, s.unlimitedInFlight = admitting, inFlight, unlimited, unlimitedInFlight
	s.present, s.presentSum, s.slots, s.slotted = present, presentSum, slots, slotted
	s.hasSlowdown, s.slowdowns = withSlowdown > 0, slowdowns+float64(admitting-withSlowdown)
	return s
}

// mean returns the mean number in flight over the targets that admit new requests.
func (s *targetTotals) mean() float64 { return s.inFlight / float64(max(s.admitting, 1)) }

// meanUnlimited returns the mean number in flight over the targets that admit new requests
// and have no rate limit; over all that admit them if each has one.
func (s *targetTotals) meanUnlimited() float64 {
	if s.unlimited == 0 {
		return s.mean()
	}
	return s.unlimitedInFlight / float64(s.unlimited)
}

// slotsBesideLimits returns the mean number of slots of the targets without a rate limit
// while others have one; 0 if none has one, or for unknown.
//
// It is designed for a service most of whose targets name a limit below their usual load.
// The others get a multiple of the mean then, and can take it as long as they have slots:
// bounds by the mean would copy their prompts to one target after the other.
func (s *targetTotals) slotsBesideLimits() float64 {
	if s.unlimited == s.admitting || s.slotted == 0 {
		return 0
	}
	return float64(s.slots) / float64(s.slotted)
}

// unevenness compares the slowdowns of the targets that admit new requests.
func (s *targetTotals) unevenness() unevenness {
	if !s.hasSlowdown {
		return unevenness{}
	}
	return unevenness{scale: float64(s.admitting) / s.slowdowns, isShared: s.sharesFigures}
}

// meanInFlight returns the mean number in flight over the targets that admit new
// requests, and over those of them without a rate limit; the former again if each has one.
func meanInFlight(targets []LocalTarget) (mean, unlimited float64) {
	s := sumTargets(targets)
	return s.mean(), s.meanUnlimited()
}
