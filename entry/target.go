package entry

import (
	"math"
	"time"

	"comfreytiller.dev/target"
	"comfreytiller.dev/target/roster"
)

const (
	// firstDoubt and mostDoubt bound the time for which a target that failed to
	// answer is avoided; it doubles with each failure in a row.
	firstDoubt = 300 * time.Millisecond
	mostDoubt  = 4 * time.Second
	// failingWeight is the weight of the newest outcome in the failing share.
	failingWeight = 0.15
	// failingHalves is the time in which the failing share halves: a target that
	// is passed over for it gets no calls that could lower it.
	failingHalves = 3 * time.Second
	// loadLasts is how long a target's word on its load counts.
	loadLasts = 3 * time.Second
	// fullLasts is how long a target that refused a request counts as full.
	fullLasts = 100 * time.Millisecond
	// averageOver is the time over which this host's own load is averaged.
	averageOver = 2 * time.Second
)

// known is a target with what this host learned of it.
type known struct {
	roster.Entry
	// firstHeard is when this host first heard of this start of the target.
	firstHeard time.Time
	// own is the number of this host's requests on it, average its mean.
	own       int
	average   float64
	averageAt time.Time
	// load is the target's last word on its load, with own at that time.
	load      target.Load
	loadAt    time.Time
	ownAtLoad int
	// elsewhere is the number of other hosts' requests, as the hubs last told.
	elsewhere   float64
	elsewhereAt time.Time
	// failures counts those in a row; unreachable is set where the last one was
	// that no connection could be opened.
	failures    int
	unreachable bool
	doubtUntil  time.Time
	failing     float64
	failingAt   time.Time
	fullUntil   time.Time
	// nextCold is when this host may send the next request to it while it is
	// cold.
	nextCold time.Time
	// coldAt is when this host learned that it is cold.
	coldAt time.Time
}

// count changes the number of own requests and follows its mean.
func (k *known) count(now time.Time, change int) {
	weight := min(float64(now.Sub(k.averageAt))/float64(averageOver), 1)
	k.average += (float64(k.own) - k.average) * weight
	k.averageAt = now
	k.own += change
}

// others is what the target said that other hosts run on it, and how much that
// word still counts, 1 when fresh and 0 when old or none.
func (k *known) others(now time.Time) (running, weight float64) {
	elsewhere, at := k.elsewhere, k.elsewhereAt
	if k.loadAt.After(at) {
		elsewhere, at = float64(max(k.load.Running-k.ownAtLoad, 0)), k.loadAt
	}
	age := now.Sub(at)
	if at.IsZero() || age >= loadLasts {
		return 0, 0
	}
	return elsewhere, 1 - float64(age)/float64(loadLasts)
}

// meanOthers is the mean of what other hosts run on a target.
func meanOthers(now time.Time, list []*known) float64 {
	sum, weights := 0.0, 0.0
	for _, k := range list {
		running, weight := k.others(now)
		sum += running * weight
		weights += weight
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// estimate returns what runs and waits on the target, over all hosts: its own
// word, which gives way to the mean of all targets as it grows old. Where no
// target tells, the other hosts are taken to send what this one does.
func (k *known) estimate(now time.Time, hosts int, mean float64) (running, waiting float64) {
	others, weight := k.others(now)
	if weight == 0 && mean == 0 {
		return float64(k.own) + k.average*float64(hosts-1), 0
	}
	return float64(k.own) + others*weight + mean*(1-weight), k.waiting(now)
}

// waiting is what the target last said that waits on it, less as it grows old.
func (k *known) waiting(now time.Time) float64 {
	age := now.Sub(k.loadAt)
	if k.loadAt.IsZero() || age >= loadLasts {
		return 0
	}
	return float64(k.load.Waiting) * (1 - float64(age)/float64(loadLasts))
}

// told takes the target's word on its load.
func (k *known) told(now time.Time, load target.Load) {
	k.load, k.loadAt, k.ownAtLoad = load, now, k.own
}

// succeeded records an answer.
func (k *known) succeeded(now time.Time) {
	k.failures, k.unreachable, k.doubtUntil = 0, false, time.Time{}
	k.failing, k.failingAt = k.failingShare(now)*(1-failingWeight), now
}

// failingShare is the share of calls that failed, less as it grows old.
func (k *known) failingShare(now time.Time) float64 {
	return k.failing * math.Exp2(-float64(now.Sub(k.failingAt))/float64(failingHalves))
}

// failed records that the target failed to answer.
func (k *known) failed(now time.Time, unreachable bool) {
	share := k.failingShare(now)
	k.failing, k.failingAt = share+(1-share)*failingWeight, now
	k.unreachable = unreachable
	doubt := min(firstDoubt<<min(k.failures, 8), mostDoubt)
	k.failures++
	k.doubtUntil = now.Add(doubt)
}

// doubtful reports whether the target is avoided for its failures. One that
// could not be reached stays so until it is.
func (k *known) doubtful(now time.Time) bool {
	return k.unreachable || now.Before(k.doubtUntil)
}
