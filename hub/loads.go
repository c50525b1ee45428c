package hub

import (
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
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
	digestLoads map[string]int
	digestMean  float64
	digestAt    time.Time
}

// loadReport is the last report of a host or another hub: its requests in
// flight by target.
type loadReport struct {
	at       time.Time
	inFlight map[string]int
}

func newLoadTracker(clock clockwork.Clock) *loadTracker {
	return &loadTracker{clock: clock, hosts: map[string]loadReport{}, hubs: map[string]loadReport{}}
}

// recordHost records the report of a host that watches this hub.
func (l *loadTracker) recordHost(name string, inFlight map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[name] = loadReport{at: l.clock.Now(), inFlight: inFlight}
}

// recordHub records another hub's report on the hosts that watch that hub.
func (l *loadTracker) recordHub(name string, inFlight map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hubs[name] = loadReport{at: l.clock.Now(), inFlight: inFlight}
}

// hostTotals returns the loads of the hosts that watch this hub, by target.
func (l *loadTracker) hostTotals() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := map[string]int{}
	l.addReports(total, l.hosts)
	return total
}

// hasLoad reports whether the last digest contains any load.
func (l *loadTracker) hasLoad() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.digestLoads) > 0 || l.digestMean > 0
}

// digest returns the digest of all hosts' loads that is sent to hosts. Calls
// within digestTTL share one digest.
func (l *loadTracker) digest(targets func() []string) (listed map[string]int, mean float64) {
	const digestTTL = 50 * time.Millisecond
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.clock.Now(); now.Sub(l.digestAt) >= digestTTL {
		total := map[string]int{}
		l.addReports(total, l.hosts)
		l.addReports(total, l.hubs)
		l.digestLoads, l.digestMean = selectOutliers(total, targets())
		l.digestAt = now
	}
	return l.digestLoads, l.digestMean
}

// A digest lists the targets whose load is far above or below the mean: more
// than outlierMargin requests above highOutlierFactor times the mean, or below
// lowOutlierFactor times the mean. A host needs to know which targets to avoid
// and which ones have capacity. Digests of fleets with at most
// maxCompleteDigestTargets targets list all of them.
const (
	highOutlierFactor        = 1.25
	lowOutlierFactor         = 0.75
	outlierMargin            = 1
	maxCompleteDigestTargets = 24
)

// selectOutliers selects the loads that differ much from the mean. This keeps
// digests small, as a hub sends them over its slow link to hundreds of hosts a
// few times a second. A target that is missing from total is idle.
func selectOutliers(total map[string]int, targets []string) (listed map[string]int, mean float64) {
	if len(targets) <= maxCompleteDigestTargets {
		return total, 0
	}
	sum := 0
	for _, inFlight := range total {
		sum += inFlight
	}
	mean = float64(sum) / float64(len(targets))
	listed = map[string]int{}
	for _, target := range targets {
		inFlight := float64(total[target])
		if inFlight > highOutlierFactor*mean+outlierMargin || inFlight < lowOutlierFactor*mean-outlierMargin {
			listed[target] = total[target]
		}
	}
	return listed, mean
}

// digestInterval returns the interval between two digests to one host. It grows with the
// number of hosts that watch this hub, since their digests share its link. Hosts that
// watch other hubs do not count: the larger the fleet, the later the requests that hosts
// send to one target would be reported.
func (h *Hub) digestInterval() time.Duration {
	const perHost = 3 * time.Millisecond
	return max(loadInterval, time.Duration(len(h.watchers.localHosts()))*perHost)
}

// addReports adds the reports that have not expired to total and deletes the
// others. The caller must hold l.mu.
func (l *loadTracker) addReports(total map[string]int, reports map[string]loadReport) {
	now := l.clock.Now()
	maps.DeleteFunc(reports, func(_ string, report loadReport) bool { return now.Sub(report.at) > loadReportTTL })
	for _, report := range reports {
		for target, inFlight := range report.inFlight {
			total[target] += inFlight
		}
	}
}
