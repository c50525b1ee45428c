package entry

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/admission/scarcity"
)

const (
	// fairLogInterval is the minimum time between two log lines on a service.
	fairLogInterval = 5 * time.Second
	// maxLoggedWorkspaces limits the workspaces that are counted for a log line.
	maxLoggedWorkspaces = 64
	// outcomeAdmitted and outcomeQueued are values of a metric's tag, beside the reasons of
	// refusals.
	outcomeAdmitted scarcity.Reason = "Admitted"
	outcomeQueued   scarcity.Reason = "Queued"
)

// fairStatistics counts what became of the requests to a service.
type fairStatistics struct {
	scope    tally.Scope
	counters map[fairOutcome]tally.Counter
	gauge    tally.Gauge

	// The counts below are those since the last log line.
	loggedAt    time.Time
	wasScarce   bool
	reasons     map[scarcity.Reason]int
	workspaces  map[string]int
	lastRefused string
}

// fairOutcome is what a counter counts.
type fairOutcome struct {
	priority int
	reason   scarcity.Reason
}

func newFairStatistics(scope tally.Scope, service string) fairStatistics {
	scope = scope.Tagged(map[string]string{"service": service})
	return fairStatistics{
		scope: scope, counters: map[fairOutcome]tally.Counter{}, gauge: scope.Gauge("share"),
		reasons: map[scarcity.Reason]int{}, workspaces: map[string]int{},
	}
}

// countAdmitted counts a request that is sent.
func (s *fairStatistics) countAdmitted(priority int) {
	s.counter(fairOutcome{priority, outcomeAdmitted}).Inc(1)
}

// count counts a request that waits or is refused.
func (s *fairStatistics) count(reason scarcity.Reason, verdict scarcity.Verdict, request *admission.Request) {
	if verdict == scarcity.Queued {
		reason = outcomeQueued
	} else {
		s.lastRefused = request.ID
		if _, known := s.workspaces[request.Workspace]; known || len(s.workspaces) < maxLoggedWorkspaces {
			s.workspaces[request.Workspace]++
		}
	}
	s.reasons[reason]++
	s.counter(fairOutcome{request.Priority, reason}).Inc(1)
}

func (s *fairStatistics) counter(of fairOutcome) tally.Counter {
	counter := s.counters[of]
	if counter == nil {
		// The rank is that of the configuration, of which 0 is the highest.
		counter = s.scope.Tagged(map[string]string{"rank": strconv.Itoa(-of.priority), "outcome": string(of.reason)}).Counter("requests")
		s.counters[of] = counter
	}
	return counter
}

// logChange logs who waits and who is refused, at most once in an interval, and when the
// service begins or ceases to have too little room.
func (s *fairStatistics) logChange(log *logrus.Logger, now time.Time, name string, service *scarcity.Service) {
	s.gauge.Update(service.Fraction())
	isScarce := service.IsScarce()
	if now.Sub(s.loggedAt) < fairLogInterval || isScarce == s.wasScarce && len(s.reasons) == 0 {
		return
	}
	most, mostRefused := "", 0
	for workspace, refused := range s.workspaces {
		if refused > mostRefused || refused == mostRefused && workspace < most {
			most, mostRefused = workspace, refused
		}
	}
	load := service.Load()
	fields := logrus.Fields{
		"Service": name, "Share": service.Fraction(), "Running": load.InFlight, "Slots": load.Slots, "Hosts": load.Hosts, "Waiting": service.Waiting(),
		"Outcomes": s.reasons, "MostRefused": most, "MostRefusedCount": mostRefused, "LastRefused": s.lastRefused,
	}
	log.WithFields(fields).WithField("Interval", now.Sub(s.loggedAt)).Info("Requests of the service waited or were refused, or its room changed.")
	s.loggedAt, s.wasScarce = now, isScarce
	s.reasons, s.workspaces, s.lastRefused = map[scarcity.Reason]int{}, map[string]int{}, ""
}
