package hub

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/target/roster"
)

const (
	// loadInterval is the minimum interval between two load reports or digests.
	loadInterval = 100 * time.Millisecond
	// loadReportTTL is how long a load report of a host or hub is used.
	loadReportTTL = 1500 * time.Millisecond
)

// loadTracker sums up the requests that entry hosts have in flight on targets.
type loadTracker struct {
	clock clockwork.Clock

	mu    sync.Mutex
	hosts map[string]loadReport
	hubs  map[string]loadReport
	// digestLoads and digestMean are the digest computed at digestAt.
	digestLoads map[roster.Key]int
	digestMean  float64
	digestAt    time.Time
}

// loadReport is the last report of a host or another hub: its requests in
// flight by target.
type loadReport struct {
	at       time.Time
	inFlight map[roster.Key]int
}

func newLoadTracker(clock clockwork.Clock) *loadTracker {
	return &loadTracker{clock: clock, hosts: map[string]loadReport{}, hubs: map[string]loadReport{}}
}

// recordHost records the report of a host that watches this hub.
func (l *loadTracker) recordHost(name string, inFlight map[roster.Key]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[name] = loadReport{at: l.clock.Now(), inFlight: inFlight}
}

// recordHub records another hub's report on the hosts that watch that hub.
func (l *loadTracker) recordHub(name string, inFlight map[roster.Key]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hubs[name] = loadReport{at: l.clock.Now(), inFlight: inFlight}
}

// hostTotals returns the loads of the hosts that watch this hub, by target.
func (l *loadTracker) hostTotals() map[roster.Key]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := map[roster.Key]int{}
	l.addReports(total, l.hosts)
	return total
}

// hasLoad reports whether any requests are in flight according to the last digest.
func (l *loadTracker) hasLoad() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, inFlight := range l.digestLoads {
		if inFlight > 0 {
			return true
		}
	}
	return l.digestMean > 0
}

// digest returns the digest of all hosts' loads that is sent to hosts. Calls
// within digestTTL share one digest.
func (l *loadTracker) digest(targets func() []roster.Key) (listed map[roster.Key]int, mean float64) {
	const digestTTL = 50 * time.Millisecond
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.clock.Now(); now.Sub(l.digestAt) >= digestTTL {
		total := map[roster.Key]int{}
		l.addReports(total, l.hosts)
		l.addReports(total, l.hubs)
		l.digestLoads, l.digestMean = selectOutliers(total, targets())
		l.digestAt = now
	}
	return l.digestLoads, l.digestMean
}

// A digest lists the minListedTargets targets whose loads are farthest from the mean, and
// all others whose load is far above or below it: more than outlierMargin requests above
// highOutlierFactor times the mean, or below lowOutlierFactor times the mean. A host
// needs to know which targets to avoid and which ones have capacity.
const (
	highOutlierFactor = 1.25
	lowOutlierFactor  = 0.75
	outlierMargin     = 1
	minListedTargets  = 24
)

// selectOutliers selects the loads that differ most from the mean. This keeps digests
// small, as a hub sends them over its slow link to hundreds of hosts a few times a
// second. A target that is missing from total is idle. mean is that of the ready targets;
// others that still run requests are listed like them.
func selectOutliers(total map[roster.Key]int, ready []roster.Key) (listed map[roster.Key]int, mean float64) {
	for _, target := range ready {
		mean += float64(total[target]) / float64(len(ready))
	}
	listed = map[roster.Key]int{}
	farthest := make([]targetLoad, 0, minListedTargets+1)
	consider := func(target roster.Key) {
		load := targetLoad{target: target, load: total[target]}
		if value := float64(load.load); value > highOutlierFactor*mean+outlierMargin || value < lowOutlierFactor*mean-outlierMargin {
			listed[target] = load.load
		}
		farthest = insertFarthest(farthest, load, mean)
	}
	running := make(map[roster.Key]bool, len(total))
	for _, target := range ready {
		if _, known := total[target]; known {
			running[target] = true
		}
		consider(target)
	}
	for target := range total {
		if !running[target] {
			consider(target)
		}
	}
	for _, load := range farthest {
		if float64(load.load) != mean {
			listed[load.target] = load.load
		}
	}
	return listed, mean
}

// targetLoad is the number of requests in flight on a target.
type targetLoad struct {
	target roster.Key
	load   int
}

// insertFarthest inserts a load into the minListedTargets loads that are farthest from the mean,
// in their order, if it is one of them. Sorting the loads of 3,000 targets for each digest took
// a tenth of a small hub's processor.
func insertFarthest(farthest []targetLoad, load targetLoad, mean float64) []targetLoad {
	compare := func(a, b targetLoad) int {
		return cmp.Or(cmp.Compare(math.Abs(float64(b.load)-mean), math.Abs(float64(a.load)-mean)), cmp.Compare(a.target, b.target))
	}
	if len(farthest) == minListedTargets && compare(farthest[minListedTargets-1], load) <= 0 {
		return farthest
	}
	at, _ := slices.BinarySearchFunc(farthest, load, compare)
	farthest = slices.Insert(farthest, at, load)
	return farthest[:min(len(farthest), minListedTargets)]
}

// digestInterval returns the interval between two digests to one host. It grows with the
// number of hosts that watch this hub, since their digests share its link. Hosts that
// watch other hubs do not count: the larger the fleet, the later the requests that hosts
// send to one target would be reported.
func (h *Hub) digestInterval() time.Duration {
	perHost := max(minDigestTime, time.Duration(float64(time.Second)*float64(h.loads.digestBytes())/maxDigestRate))
	return max(loadInterval, time.Duration(h.watchers.localCount())*perHost)
}

// Limits of the digests to all hosts of a hub together.
const (
	// minDigestTime is the processor time that a hub has for a digest to one host.
	minDigestTime = 3 * time.Millisecond
	// maxDigestRate is a third of the link of a small hub, 6 Mbit/s, in bytes per second.
	// The rest is for changes, after outages for all hosts at once, and for the quorum.
	maxDigestRate = 250_000
	// replyOverheadBytes is the size of a reply without loads, listedLoadBytes that of a
	// listed load.
	replyOverheadBytes = 200
	listedLoadBytes    = 6
)

// digestBytes returns the size of a reply with the last digest.
func (l *loadTracker) digestBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return replyOverheadBytes + listedLoadBytes*len(l.digestLoads)
}

// addReports adds the reports that have not expired to total and deletes the
// others. The caller must hold l.mu.
func (l *loadTracker) addReports(total map[roster.Key]int, reports map[string]loadReport) {
	now := l.clock.Now()
	maps.DeleteFunc(reports, func(_ string, report loadReport) bool { return now.Sub(report.at) > loadReportTTL })
	for _, report := range reports {
		for target, inFlight := range report.inFlight {
			total[target] += inFlight
		}
	}
}
