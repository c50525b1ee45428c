package route

// hasNoSlot reports whether this host has used up its share of the target's rate limit.
func (t *LocalTarget) hasNoSlot() bool { return t.RateLimited && t.AtCapacity }

// rendezvousOrder holds the first targets in rendezvous order for a key.
type rendezvousOrder struct {
	// first and second are the first two of all targets that may have cached the
	// prompt, including those that admit no new requests. home is the first one that
	// admits new requests.
	first  int
	second int
	home   int
}

// newRendezvousOrder finds the first targets in rendezvous order for a key; a key of 0
// has none. A recently joined target is no home while there are others: each prompt that
// moves to it needs a cache transfer, and it receives the overflow of the other targets
// anyway. The prompts of a target with a rate limit have a second home for the requests
// beyond it, one without a limit if there is any: with others, whose slots open and close,
// a prompt would be copied to one after the other.
func newRendezvousOrder(key uint64, targets []LocalTarget) rendezvousOrder {
	totals := sumTargets(targets)
	return totals.rendezvousOrder(key, targets)
}

// rendezvousOrder finds the first targets in rendezvous order for a key.
func (s *targetTotals) rendezvousOrder(key uint64, targets []LocalTarget) rendezvousOrder {
	order := rendezvousOrder{first: None, second: None, home: None}
	if key == 0 {
		return order
	}
	var firstScore, secondScore uint64
	preferred, unlimited, withSlot := topTarget{at: None}, topTarget{at: None}, topTarget{at: None}
	hasLimits := s.unlimited < s.admitting
	for i := range targets {
		target := &targets[i]
		if target.Unhealthy || target.Availability == Gone || s.hasEstablished && target.RecentlyJoined {
			continue
		}
		score := Score(key, target.Key)
		switch {
		case order.first == None || score > firstScore:
			order.second, secondScore = order.first, firstScore
			order.first, firstScore = i, score
		case order.second == None || score > secondScore:
			order.second, secondScore = i, score
		}
		if target.Availability != Available {
			continue
		}
		preferred.offer(i, score)
		if !hasLimits {
			continue
		}
		if !target.RateLimited {
			unlimited.offer(i, score)
		}
		if !target.hasNoSlot() {
			withSlot.offer(i, score)
		}
	}
	switch {
	case preferred.at != None && !targets[preferred.at].hasNoSlot():
		order.home = preferred.at
	case unlimited.at != None:
		order.home = unlimited.at
	default:
		order.home = withSlot.at
	}
	return order
}

// topTarget is the target with the highest score of those that were offered.
type topTarget struct {
	at    int
	score uint64
}

func (t *topTarget) offer(i int, score uint64) {
	if t.at == None || score > t.score {
		t.at, t.score = i, score
	}
}

// cacheSource returns the target from which target i can get the cached prompt: the
// home, or the target that was the home before the set of targets changed.
func (r *rendezvousOrder) cacheSource(i int, targets []LocalTarget) int {
	if source := r.source(targets); source != i {
		return source
	}
	return None
}

// source returns the target that is expected to have cached the prompt.
func (r *rendezvousOrder) source(targets []LocalTarget) int {
	switch {
	case r.home == None:
		return None
	case r.first != r.home:
		return r.first
	case targets[r.home].RecentlyJoined:
		return r.second
	}
	return r.home
}
