package route

const (
	// maxSpreadTargets bounds the targets over which one prompt spreads.
	maxSpreadTargets = 64
	// spreadCapacity is the total free capacity to spread over: the number of requests
	// that may arrive for one prompt before hosts receive reports of each other's
	// requests.
	spreadCapacity = 24
)

// spread chooses one of the first targets in rendezvous order for a key, with a
// probability proportional to its free capacity below the bound. It uses as many
// targets as together have enough free capacity, and returns None if no target has
// any.
//
// This is for a prompt that gets tens of requests per second on a hundred hosts,
// each of which receives only a few. If all hosts chose the next target in order, or
// the least loaded one, they would overload that target until the next load report.
func spread(key, point uint64, hot bool, bound float64, targets []LocalTarget) int {
	var order [maxSpreadTargets]rankedCandidate
	count := 0
	for i := range targets {
		target := &targets[i]
		if target.Availability != Open || target.AtCapacity || target.Unhealthy {
			continue
		}
		count = insert(order[:], count, rankedCandidate{target: i, score: Score(key, target.Key)})
	}
	var free [maxSpreadTargets]float64
	total, used := 0.0, 0
	capacity := float64(spreadCapacity)
	if len(targets) > largeFleetTargets {
		capacity = largeFleetCoolCapacity
		if hot {
			capacity = largeFleetHotCapacity
		}
	}
	for used < count && total < capacity {
		free[used] = max(bound-targets[order[used].target].Running, 0)
		total += free[used]
		used++
	}
	if total == 0 {
		return None
	}
	const points = 1 << 20
	at := float64(point%points) / points * total
	for i := range used {
		if at < free[i] {
			return order[i].target
		}
		at -= free[i]
	}
	return order[used-1].target
}
