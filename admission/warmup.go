package admission

import (
	"time"

	"comfreytiller.dev/fleet"
)

// slowInRow is the number of slow first bytes in a row that show that a target
// has turned cold.
const slowInRow = 2

// warmUp is how far a target has come from a cold start.
type warmUp struct {
	// done is the number of requests completed since the target was cold.
	done int
	// reported is set while the target's newest report says that it is cold.
	reported bool
	slow     int
}

// cool starts the warm-up again.
func (w *warmUp) cool() {
	w.done = 0
	w.slow = 0
}

// warm reports whether the warm-up is over.
func (w *warmUp) warm(config fleet.WarmUp) bool {
	return config.ColdLimit <= 0 || !w.reported && w.done >= config.RampRequests
}

// limit returns the largest number in flight, which grows from the cold limit
// to full with the completed requests.
func (w *warmUp) limit(config fleet.WarmUp, full int) int {
	if w.warm(config) {
		return full
	}
	cold := min(config.ColdLimit, full)
	if w.reported {
		return cold
	}
	return cold + (full-cold)*w.done/config.RampRequests
}

// share returns the part of the warm-up that is done, from 0 to 1.
func (w *warmUp) share(config fleet.WarmUp) float64 {
	if w.warm(config) {
		return 1
	}
	return min(float64(w.done)/float64(max(config.RampRequests, 1)), 1)
}

// report takes the target's own word. A target that says it is cold again
// starts anew; one that still says so stays at its cold limit.
func (w *warmUp) report(cold bool) {
	if cold && !w.reported {
		w.cool()
	}
	w.reported = cold
}

// complete counts a completed request by its first-byte time. Slow ones don't
// count, and some in a row show that a warm target has turned cold.
func (w *warmUp) complete(config fleet.WarmUp, firstByte time.Duration) {
	if config.ColdFirstByte <= 0 || firstByte <= config.ColdFirstByte {
		w.slow = 0
		w.done++
		return
	}
	w.slow++
	if w.slow >= slowInRow && w.done >= config.RampRequests {
		w.cool()
	}
}

// bore raises the progress to where the target may have inFlight requests,
// which an earlier owner found it able to bear.
func (w *warmUp) bore(config fleet.WarmUp, full, inFlight int) {
	for w.limit(config, full) < min(inFlight, full) && w.done < config.RampRequests {
		w.done++
	}
}
