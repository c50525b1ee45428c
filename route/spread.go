package route

const (
	// maxSpreadTargets is the maximum number of targets over which one prompt spreads.
	maxSpreadTargets = 64
	// minSpreadCapacity is the least total free capacity to spread over. With more, each
	// request that leaves its home costs a cache transfer to another target; with less,
	// a few requests that arrive together fill it.
	minSpreadCapacity = 6
	// spreadMargin is the free capacity to spread over, as a multiple of the requests
	// that are expected before hosts receive reports of each other's requests.
	spreadMargin = 2
)

// spread chooses one of the first targets in rendezvous order for a key, with a
// probability proportional to its free capacity, the distance of its load to bound. It
// uses as many targets as together have room for the requests with this prompt that are
// expected to arrive within the age of the reports, and returns None if no target has
// any.
//
// It is designed for a prompt that gets tens of requests per second on a hundred hosts,
// each of which receives only a few. If all hosts chose the next target in order, or
// the least loaded one, they would overload that target until the next load report.
func spread(key, random uint64, arrivals, bound float64, targets []LocalTarget, uneven unevenness) int {
	var order [maxSpreadTargets]rankedCandidate
	count := 0
	for i := range targets {
		target := &targets[i]
		if target.Availability != Available || target.AtCapacity || target.Unhealthy {
			continue
		}
		count = insert(order[:], count, rankedCandidate{target: i, score: Score(key, target.Key)})
	}
	var free [maxSpreadTargets]float64
	total, used := 0.0, 0
	capacity := max(spreadMargin*arrivals, minSpreadCapacity)
	for used < count && total < capacity {
		free[used] = max(bound-uneven.load(&targets[order[used].target]), 0)
		total += free[used]
		used++
	}
	if total == 0 {
		return None
	}
	const resolution = 1 << 20
	at := float64(random%resolution) / resolution * total
	for i := range used {
		if at < free[i] {
			return order[i].target
		}
		at -= free[i]
	}
	return order[used-1].target
}
