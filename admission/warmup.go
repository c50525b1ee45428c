package admission

import (
	"time"

	"comfreytiller.dev/fleet"
)

// slowFirstBytesToCold is the number of consecutive slow first bytes after which a
// warm target counts as cold.
const slowFirstBytesToCold = 2

// warmUp is the progress of a target from a cold start.
type warmUp struct {
	// completed is the number of requests completed since the target was cold.
	completed int
	// reportedCold is set while the target's newest report says that it is cold.
	reportedCold   bool
	slowFirstBytes int
}

// reset restarts the warm-up.
func (w *warmUp) reset() {
	w.completed = 0
	w.slowFirstBytes = 0
}

// finished reports whether the warm-up is over.
func (w *warmUp) finished(config fleet.WarmUp) bool {
	return config.ColdLimit <= 0 || !w.reportedCold && w.completed >= config.RampRequests
}

// limit returns the largest number in flight, which grows with the completed requests
// from the cold limit to the warm limit.
func (w *warmUp) limit(config fleet.WarmUp, warmLimit int) int {
	if w.finished(config) {
		return warmLimit
	}
	cold := min(config.ColdLimit, warmLimit)
	if w.reportedCold {
		return cold
	}
	return cold + (warmLimit-cold)*w.completed/config.RampRequests
}

// progress returns the completed fraction of the warm-up, from 0 to 1.
func (w *warmUp) progress(config fleet.WarmUp) float64 {
	if w.finished(config) {
		return 1
	}
	return min(float64(w.completed)/float64(max(config.RampRequests, 1)), 1)
}

// setReportedCold applies the target's own report. A target that newly reports to be
// cold restarts its warm-up; one that keeps reporting it stays at its cold limit.
func (w *warmUp) setReportedCold(cold bool) {
	if cold && !w.reportedCold {
		w.reset()
	}
	w.reportedCold = cold
}

// recordCompletion counts a completed request. Requests with a slow first byte are not
// counted, and several in a row show that a warm target has turned cold.
func (w *warmUp) recordCompletion(config fleet.WarmUp, firstByte time.Duration) {
	if config.ColdFirstByte <= 0 || firstByte <= config.ColdFirstByte {
		w.slowFirstBytes = 0
		w.completed++
		return
	}
	w.slowFirstBytes++
	if w.slowFirstBytes >= slowFirstBytesToCold && w.completed >= config.RampRequests {
		w.reset()
	}
}

// raiseToInFlight raises the progress until the limit allows inFlight requests, since
// an earlier owner let the target have that many.
func (w *warmUp) raiseToInFlight(config fleet.WarmUp, warmLimit, inFlight int) {
	for w.limit(config, warmLimit) < min(inFlight, warmLimit) && w.completed < config.RampRequests {
		w.completed++
	}
}
