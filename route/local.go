package route

import (
	"slices"
	"time"
)

// LocalTarget is what an entry host that makes its own decisions knows of a target.
// Other hosts have only roughly the same view.
type LocalTarget struct {
	// Key is a hash of the target's name.
	Key uint64
	// Availability is why the target admits no new requests; Available if it does.
	Availability Reason
	// SameDomain is set for a target in the host's own failure domain.
	SameDomain bool
	// AtCapacity is set if this host has used up its share of a target that is warming
	// up, or if the target has just refused a request.
	AtCapacity bool
	// RateLimited is set for a target that names a rate limit. AtCapacity is then set while
	// this host has used up its share of that.
	RateLimited bool
	// Unhealthy is set after failures, until the target responds again.
	Unhealthy bool
	// RecentlyJoined is set for a target that joined a short time ago and has cached
	// nothing yet.
	RecentlyJoined bool
	// Slots is the number of requests that the target runs at once; 0 for unknown.
	// InFlight is the estimated number of requests of all hosts that are in flight on
	// the target, and Queued the number of them in its queue.
	Slots    int
	InFlight float64
	Queued   float64
	// SlotsInUse is set if all slots are in use by what hosts have reported lately; InFlight
	// may be a guess.
	SlotsInUse bool
	// CachedTokens is the number of the prompt's tokens that this host knows to be
	// cached on the target.
	CachedTokens int
	// FailureRate is the fraction of recent calls that failed, from 0 to 1.
	FailureRate float64
	// Slowdown is how long work takes on the target, as a multiple of the usual time; 0 for
	// unknown. HomeSlowdown is the one that counts when requests leave the target although
	// it is the home of their prompt.
	Slowdown     float64
	HomeSlowdown float64
	// SharedFigure is set if other hosts know the same Slowdown.
	SharedFigure bool
}

// LocalCosts are the costs of a local choice, as times.
type LocalCosts struct {
	// PrefillToken is the cost of a prompt token that has to be prefilled, TransferToken
	// that of a token whose cache entry is transferred from another target.
	PrefillToken  time.Duration
	TransferToken time.Duration
	// InFlight is the delay that one more request in flight causes for itself and the
	// others.
	InFlight time.Duration
	// Queued is the time until the target's queue advances by one request.
	Queued time.Duration
	// CrossDomain is the cost of a target in another failure domain.
	CrossDomain time.Duration
	// FailureRate is the cost of a target whose calls all fail. It is charged in
	// proportion to the target's failure rate.
	FailureRate time.Duration
	// Unhealthy is the cost of a target that has just failed to respond.
	Unhealthy time.Duration
	// Overload is the cost of a target at the high bound. It is charged in proportion to
	// the excess over the low bound.
	Overload time.Duration
}

// maxOverload caps the overload, as a multiple of the distance from the low to the
// high bound, that is charged for a target.
const maxOverload = 2

// LocalChoice is the result of a local decision.
type LocalChoice struct {
	// Target is the index of the chosen target, or None.
	Target int
	// CacheSource is a target that is expected to have cached more of the prompt and from
	// which the chosen target can get it, or None.
	CacheSource int
	// Home is set if the chosen target is the home of the prompt.
	Home bool
}

// ChooseLocal chooses the target with the lowest cost for a prompt of the given number
// of tokens. key is a hash that identifies the prompt; 0 for none. The home of a prompt
// is the first target in rendezvous order for its key. Every host computes the same
// home, so the prompt is cached there and prefilled once in the whole fleet.
//
// The rule is designed for returning prompts next to a hot one, on hosts whose load
// reports are one second old. Choosing by least load alone would prefill each prompt
// on every target; choosing the home alone would overload the home of a popular
// prompt. A request leaves the home when the load there costs more than transferring
// the prompt's cache to another target.
//
// random is a random number. It spreads the requests that leave an overloaded home over
// other targets. traffic tells how much may have changed since the loads were reported.
func ChooseLocal(key, random uint64, traffic Traffic, tokens int, targets []LocalTarget, costs *LocalCosts) LocalChoice {
	order := newRendezvousOrder(key, targets)
	mean, meanUnlimited := meanInFlight(targets)
	low, high := traffic.targetBounds(mean, targets)
	uneven := newUnevenness(targets)
	if order.home != None && uneven.homeLoad(&targets[order.home])+1 > low {
		if at := spread(key, random, traffic.promptArrivals(), low, targets, uneven); at != None {
			return LocalChoice{Target: at, CacheSource: order.cacheSource(at, targets), Home: at == order.home}
		}
	}
	choice := LocalChoice{Target: None, CacheSource: None}
	var best time.Duration
	// Beside targets with a rate limit, which leave the rest of the load to a few others, a
	// prompt that waits for a slot would wait until its deadline, behind ever more of them.
	takesRest := key != 0 && slotsBesideLimits(targets) > 0
	costOf := func(i int) (time.Duration, bool) {
		target := &targets[i]
		if target.Availability != Available || target.AtCapacity || takesRest && target.SlotsInUse {
			return 0, false
		}
		slowdown, load := uneven.relative(target), uneven.load(target)
		if i == order.home {
			slowdown, load = uneven.homeSlowdown(target), uneven.homeLoad(target)
		}
		return loadCost(target, slowdown, load, low, high, costs) + promptCost(i, order.cacheSource(i, targets), tokens, slowdown, targets, &order, costs), true
	}
	for i := range targets {
		cost, hasCapacity := costOf(i)
		if !hasCapacity {
			continue
		}
		source := order.cacheSource(i, targets)
		if choice.Target == None || cost < best {
			best = cost
			choice = LocalChoice{Target: i, CacheSource: source, Home: i == order.home}
		}
	}
	if key == 0 && uneven.isShared && choice.Target != None {
		choice.Target = pickEqual(random, best, uneven.tolerance(mean, costs), targets, costOf)
	}
	if choice.Target != None && shouldRefuse(&targets[choice.Target], random, meanUnlimited, targets) {
		return LocalChoice{Target: None, CacheSource: None}
	}
	return choice
}

// shouldRefuse reports whether a request should be refused rather than sent to the
// cheapest target, because that target is well above the mean and others are at
// capacity. Targets with a rate limit do not count: they never take more, and the others
// take the rest.
//
// This protects the last warm target among cold ones during a rolling release. The
// refused fraction grows from 0, halfway from the mean to the load above which a target
// slows down, to 1 at that load, so that hosts that know little of each other's requests
// do not overload the target together.
func shouldRefuse(target *LocalTarget, random uint64, mean float64, targets []LocalTarget) bool {
	limit := slowdownLoad(mean)
	start := (mean + limit) / 2
	overload := (target.InFlight + 1 - start) / (limit - start)
	if overload <= 0 {
		return false
	}
	if !slices.ContainsFunc(targets, func(t LocalTarget) bool { return t.Availability == Available && t.AtCapacity && !t.RateLimited }) {
		return false
	}
	// The low bits of random select the target in spread.
	const resolution = 1 << 20
	return float64(random>>44%resolution)/resolution < overload
}

// promptCost returns the time to prefill or transfer the part of a prompt that the
// target has not cached.
func promptCost(i, source, tokens int, slowdown float64, targets []LocalTarget, order *rendezvousOrder, costs *LocalCosts) time.Duration {
	cached := targets[i].CachedTokens
	if i == order.home && source == None {
		cached = tokens
	}
	missing := time.Duration(tokens - min(cached, tokens))
	cost := time.Duration(float64(missing*costs.PrefillToken) * slowdown)
	if source != None {
		cost = missing * costs.TransferToken
	}
	if order.home != None && i != order.home {
		// The next request with this prompt goes to the home again.
		cost += missing * costs.TransferToken / 2
	}
	return cost
}

// loadCost returns the delay that a request is expected to suffer from other requests
// on the target. load is the number in flight that is compared with the bounds.
func loadCost(target *LocalTarget, slowdown, load, low, high float64, costs *LocalCosts) time.Duration {
	cost := time.Duration(target.InFlight*float64(costs.InFlight)*slowdown) +
		time.Duration(target.Queued*float64(costs.Queued)*slowdown) +
		time.Duration(target.FailureRate*float64(costs.FailureRate))
	if target.Slots > 0 && target.InFlight >= float64(target.Slots) {
		queued := target.InFlight - float64(target.Slots) + 1
		cost += time.Duration(queued * float64(costs.Queued) * slowdown)
	}
	if overload := (load + 1 - low) / (high - low); overload > 0 {
		cost += time.Duration(min(overload, maxOverload) * float64(costs.Overload))
	}
	if !target.SameDomain {
		cost += costs.CrossDomain
	}
	if target.Unhealthy {
		cost += costs.Unhealthy
	}
	return cost
}

// meanInFlight returns the mean number in flight over the targets that admit new
// requests, and over those of them without a rate limit; the former again if each has one.
func meanInFlight(targets []LocalTarget) (mean, unlimited float64) {
	sum, count, unlimitedSum, unlimitedCount := 0.0, 0, 0.0, 0
	for i := range targets {
		if targets[i].Availability != Available {
			continue
		}
		sum += targets[i].InFlight
		count++
		if !targets[i].RateLimited {
			unlimitedSum += targets[i].InFlight
			unlimitedCount++
		}
	}
	mean = sum / float64(max(count, 1))
	if unlimitedCount == 0 {
		return mean, mean
	}
	return mean, unlimitedSum / float64(unlimitedCount)
}

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
	order := rendezvousOrder{first: None, second: None, home: None}
	if key == 0 {
		return order
	}
	hasEstablished := false
	for i := range targets {
		target := &targets[i]
		hasEstablished = hasEstablished || target.Availability == Available && !target.RecentlyJoined && !target.Unhealthy
	}
	var firstScore, secondScore uint64
	preferred, unlimited, withSlot := topTarget{at: None}, topTarget{at: None}, topTarget{at: None}
	for i := range targets {
		target := &targets[i]
		if target.Unhealthy || target.Availability == Gone || hasEstablished && target.RecentlyJoined {
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
	source := r.home
	switch {
	case r.home == None:
		return None
	case r.first != r.home:
		source = r.first
	case targets[r.home].RecentlyJoined:
		source = r.second
	}
	if source == i {
		return None
	}
	return source
}
