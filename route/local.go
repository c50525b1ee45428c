package route

import "time"

// LocalTarget is what an entry host that makes its own decisions knows of a target.
// Other hosts have only roughly the same view. The flags stand together, since the time of a
// decision among hundreds of targets is mostly that of reading them.
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
	// JoinedLately is set for a target that joined after this host learned of the others,
	// and may not have cached yet all prompts that it is the home of. It has no influence on
	// the choice.
	JoinedLately bool
	// SlotsInUse is set if all slots are in use by what hosts have reported lately; InFlight
	// may be a guess.
	SlotsInUse bool
	// Full is set if the target would queue or preempt a request: all of its slots are in
	// use, or it lacks memory, or it has much to prefill.
	Full bool
	// SharedFigure is set if other hosts know the same Slowdown.
	SharedFigure bool
	// Slots is the number of requests that the target runs at once; 0 for unknown.
	// InFlight is the estimated number of requests of all hosts that are in flight on
	// the target, and Queued the number of them in its queue.
	Slots    int
	InFlight float64
	Queued   float64
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
	totals := sumTargets(targets)
	order := totals.rendezvousOrder(key, targets)
	low, high := traffic.boundsFor(&totals)
	uneven := totals.unevenness()
	avoidsFull := totals.hasFull && hasTargetWithRoom(targets)
	if order.home != None && (uneven.homeLoad(&targets[order.home])+1 > low || avoidsFull && targets[order.home].Full) {
		if at := spread(key, random, traffic.promptArrivals(), low, targets, uneven, avoidsFull); at != None {
			return LocalChoice{Target: at, CacheSource: order.cacheSource(at, targets), Home: at == order.home}
		}
	}
	// Beside targets with a rate limit, which leave the rest of the load to a few others, a
	// prompt that waits for a slot would wait until its deadline, behind ever more of them.
	takesRest := key != 0 && totals.slotsBesideLimits() > 0
	noise := time.Duration(0)
	if key == 0 && uneven.isShared {
		noise = uneven.noise(totals.mean(), costs)
	}
	model := newCostModel(targets, tokens, &order, uneven, random, noise, costs)
	model.low, model.high, model.takesRest, model.avoidsFull = low, high, takesRest, avoidsFull
	if uneven.scale != 0 {
		model.keepBound()
	}
	if key == 0 && uneven.scale != 0 && !uneven.isShared {
		// Only this host knows these slowdowns, so that no herd follows them.
		model.work = float64(traffic.Duration)
	}
	choice := LocalChoice{Target: model.cheapest(), CacheSource: None}
	if choice.Target != None {
		choice.CacheSource, choice.Home = order.cacheSource(choice.Target, targets), choice.Target == order.home
	}
	if choice.Target != None && totals.atCapacity && shouldRefuse(&targets[choice.Target], random, totals.meanUnlimited()) {
		return LocalChoice{Target: None, CacheSource: None}
	}
	return choice
}

// shouldRefuse reports whether a request should be refused rather than sent to the
// cheapest target, because that target is well above the mean while others are at
// capacity. Targets with a rate limit do not count: they never take more, and the others
// take the rest.
//
// This protects the last warm target among cold ones during a rolling release. The
// refused fraction grows from 0, halfway from the mean to the load above which a target
// slows down, to 1 at that load, so that hosts that know little of each other's requests
// do not overload the target together.
func shouldRefuse(target *LocalTarget, random uint64, mean float64) bool {
	limit := slowdownLoad(mean)
	start := (mean + limit) / 2
	overload := (target.InFlight + 1 - start) / (limit - start)
	if overload <= 0 {
		return false
	}
	// The low bits of random select the target in spread.
	const resolution = 1 << 20
	return float64(random>>44%resolution)/resolution < overload
}
