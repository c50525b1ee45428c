package entry

import "time"

const (
	// reportIntervalWeight and durationWeight are the weights of the latest value in a
	// moving average.
	reportIntervalWeight = 0.2
	durationWeight       = 0.05
	// hubExchangeDelay is how long a report of a host takes to reach the hosts of other
	// hubs, beside the intervals of their polls.
	hubExchangeDelay = 100 * time.Millisecond
)

// reportClock measures how old the load reports of other hosts are. It is not safe for
// concurrent use.
type reportClock struct {
	lastAt   time.Time
	interval time.Duration
}

// record records the arrival of a digest of load reports.
func (r *reportClock) record(now time.Time) {
	if !r.lastAt.IsZero() {
		r.interval = movingAverage(r.interval, now.Sub(r.lastAt), reportIntervalWeight)
	}
	r.lastAt = now
}

// age returns the mean age of what is known of the requests of other hosts, at most
// loadReportTTL. A report waits for the next poll of its host, and a digest is used
// until the next one arrives, each for half an interval.
func (r *reportClock) age(now time.Time) time.Duration {
	if r.lastAt.IsZero() {
		return loadReportTTL
	}
	return min(max(r.interval, now.Sub(r.lastAt))+hubExchangeDelay, loadReportTTL)
}

// movingAverage returns the average after another value; the first value is the
// average.
func movingAverage(average, value time.Duration, weight float64) time.Duration {
	if average == 0 {
		return value
	}
	return average + time.Duration(weight*float64(value-average))
}
