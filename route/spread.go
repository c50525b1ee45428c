package route

const (
	// mostSpread bounds the targets over which one prompt spreads.
	mostSpread = 64
	// spreadRoom is the room that is looked for in all: what may arrive for one
	// prompt until hosts hear of each other's requests.
	spreadRoom = 24
)

// spread picks one of the first targets in rendezvous order for a key, in
// proportion to their room below the bound, over as many as have enough room
// together; None if none has any.
//
// It answers a prompt that gets tens of requests a second on a hundred hosts,
// each of which sees a few. If all of them went on to the next target in order,
// or to the least loaded one, they would meet there until the next report.
func spread(key, point uint64, hot bool, bound float64, targets []LocalTarget) int {
	var order [mostSpread]ranked
	count := 0
	for i := range targets {
		target := &targets[i]
		if target.Availability != Open || target.AtCapacity || target.Unhealthy {
			continue
		}
		count = insert(order[:], count, ranked{target: i, score: Score(key, target.Key)})
	}
	var room [mostSpread]float64
	total, used := 0.0, 0
	wanted := float64(spreadRoom)
	if len(targets) > largeFleet {
		wanted = largeCoolRoom
		if hot {
			wanted = largeHotRoom
		}
	}
	for used < count && total < wanted {
		room[used] = max(bound-targets[order[used].target].Running, 0)
		total += room[used]
		used++
	}
	if total == 0 {
		return None
	}
	const points = 1 << 20
	at := float64(point%points) / points * total
	for i := range used {
		if at < room[i] {
			return order[i].target
		}
		at -= room[i]
	}
	return order[used-1].target
}
