package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// earlyPeriod is the time after the first byte of a response in which the crash of
	// the target is still attributed to the request. Targets send several tokens at a
	// time.
	earlyPeriod = 250 * time.Millisecond
	// soundPeriod is the time after the first byte of a response after which the request
	// counts as sound, even if the target is lost later.
	soundPeriod = time.Second
	// successTTL is how long a success is remembered for a subject that is not suspected.
	// Requests that repeat are known as sound when they repeat more often.
	successTTL = 15 * time.Second
	// checkTTL is how long the requests that were lost on a target wait for the check
	// whether it is down.
	checkTTL = 5 * time.Second
	// maxReported limits the entries of a report.
	maxReported = 64
	// maxSucceeded limits the subjects whose last success is remembered.
	maxSucceeded = 8192
)

// Lost is a request whose target closed the connection before the response was complete.
type Lost struct {
	Content     Content
	Target      string
	Incarnation uint64
	SentAt      time.Time
	// FirstByte is the time from sending the request to the first byte of the response; 0
	// if none arrived.
	FirstByte time.Duration
	LostAt    time.Time
}

// responseAge returns for how long the response had been arriving.
func (l *Lost) responseAge() time.Duration {
	if l.FirstByte == 0 {
		return 0
	}
	return l.LostAt.Sub(l.SentAt) - l.FirstByte
}

// Observer collects on an entry host what its own requests tell about crashes of targets,
// and holds the suspects that the hub reports. It is safe for concurrent use.
type Observer struct {
	mu sync.Mutex
	// unchecked holds the requests that were lost on targets of which is not known yet
	// whether they are down.
	unchecked map[startedTarget][]Lost
	// isDown holds the last checks.
	isDown map[startedTarget]check
	report Report
	// suspects are those that the hub reports, and reported the times at which the requests
	// were sent whose success with them was reported.
	suspects map[Subject]observedSuspect
	reported map[Subject]time.Time
	// succeeded holds by subject when the last request was sent that succeeded.
	succeeded map[Subject]time.Time
	lastPrune time.Time
	// refused are the subjects of requests that were refused since the last report, trials the
	// granted ones with their ends.
	refused map[Subject]bool
	trials  map[Subject]time.Time
	// version is that of the hub's list of suspects.
	version uint64
}

// observedSuspect is a suspect as the hub listed it. One in quarantine that the hub does not
// list any more, as after its restart, stays.
type observedSuspect struct {
	Suspect
	isListed bool
}

// check is the result of a check whether a target is down.
type check struct {
	isDown bool
	at     time.Time
}

// NewObserver returns an observer without suspects.
func NewObserver() *Observer {
	return &Observer{
		unchecked: map[startedTarget][]Lost{}, isDown: map[startedTarget]check{},
		suspects: map[Subject]observedSuspect{}, reported: map[Subject]time.Time{}, succeeded: map[Subject]time.Time{},
		refused: map[Subject]bool{}, trials: map[Subject]time.Time{},
	}
}

// RecordLost records a lost request. It returns true if the caller should check whether
// the target is down and call RecordCheck: a target that still accepts connections has
// only lost this one.
func (o *Observer) RecordLost(lost Lost) bool {
	age := lost.responseAge()
	if age >= soundPeriod {
		o.RecordSuccess(lost.LostAt, lost.Content, lost.SentAt)
	}
	if len(lost.Content.subjects()) == 0 || age >= earlyPeriod {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.removeExpired(lost.LostAt)
	target := startedTarget{lost.Target, lost.Incarnation}
	if known, found := o.isDown[target]; found {
		if known.isDown {
			o.addCrash(&lost)
		}
		return false
	}
	waiting := o.unchecked[target]
	o.unchecked[target] = append(waiting, lost)
	return len(waiting) == 0
}

// RecordCheck records whether a target was found to be down.
func (o *Observer) RecordCheck(now time.Time, target string, incarnation uint64, isDown bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	started := startedTarget{target, incarnation}
	waiting := o.unchecked[started]
	delete(o.unchecked, started)
	if !isDown {
		return
	}
	o.isDown[started] = check{isDown: true, at: now}
	for i := range waiting {
		o.addCrash(&waiting[i])
	}
}

// addCrash adds the subjects of a lost request to the report. The caller must hold o.mu.
func (o *Observer) addCrash(lost *Lost) {
	for depth, subject := range lost.Content.subjects() {
		if len(o.report.Crashes) == maxReported {
			return
		}
		crash := Crash{Subject: subject, Depth: depth, Target: lost.Target, Incarnation: lost.Incarnation, SentAt: lost.SentAt, CrashedAt: lost.LostAt}
		if !slices.Contains(o.report.Crashes, crash) {
			o.report.Crashes = append(o.report.Crashes, crash)
		}
	}
}

// RecordSuccess records the complete response to a request.
func (o *Observer) RecordSuccess(now time.Time, content Content, sentAt time.Time) {
	subjects := content.subjects()
	if len(subjects) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.lastPrune) > successTTL {
		o.lastPrune = now
		maps.DeleteFunc(o.succeeded, func(_ Subject, at time.Time) bool { return now.Sub(at) > successTTL })
	}
	for _, subject := range subjects {
		if o.succeeded[subject].After(sentAt) || len(o.succeeded) >= maxSucceeded && o.succeeded[subject].IsZero() {
			continue
		}
		o.succeeded[subject] = sentAt
		o.reportSuccess(subject)
	}
}

// reportSuccess adds the last success with a suspect to the report: one that clears it or,
// for a request, one that shows that it does not crash targets. The caller must hold o.mu.
func (o *Observer) reportSuccess(subject Subject) {
	suspect, sentAt := o.suspects[subject], o.succeeded[subject]
	if suspect.Crashes == 0 || sentAt.IsZero() || len(o.report.Successes) == maxReported {
		return
	}
	reported, isReported := o.reported[subject]
	clears := sentAt.After(suspect.FirstAt)
	switch {
	case clears && isReported && reported.After(suspect.FirstAt):
		return
	case !clears && (!subject.IsRequest || isReported):
		return
	}
	o.reported[subject] = sentAt
	o.report.Successes = append(o.report.Successes, Success{Subject: subject, SentAt: sentAt})
}

// TakeReport returns what is to be reported to the hub and forgets it.
func (o *Observer) TakeReport() Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	report := o.report
	o.report = Report{}
	return report
}

// RestoreReport takes back a report that did not reach the hub.
func (o *Observer) RestoreReport(report Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.report.Crashes = append(report.Crashes, o.report.Crashes...)
	o.report.Successes = append(report.Successes, o.report.Successes...)
	o.report.Crashes = o.report.Crashes[:min(len(o.report.Crashes), maxReported)]
	o.report.Successes = o.report.Successes[:min(len(o.report.Successes), maxReported)]
}

// Apply replaces the suspects by those of the hub, whose list has the given version. It
// returns the ones that have come into quarantine, and the ones that the hub has released
// from it.
func (o *Observer) Apply(now time.Time, suspects []Suspect, version uint64) (added, released []Suspect) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.removeExpired(now)
	next := make(map[Subject]observedSuspect, len(suspects))
	for _, suspect := range suspects {
		next[suspect.Subject] = observedSuspect{Suspect: suspect, isListed: true}
		known := o.suspects[suspect.Subject]
		switch isQuarantined := suspect.IsQuarantined(now); {
		case isQuarantined && !known.IsQuarantined(now):
			added = append(added, suspect)
		case !isQuarantined && known.IsQuarantined(now):
			released = append(released, known.Suspect)
		}
	}
	for subject, suspect := range o.suspects {
		if _, found := next[subject]; !found && suspect.IsQuarantined(now) {
			next[subject] = observedSuspect{Suspect: suspect.Suspect}
		}
	}
	maps.DeleteFunc(o.reported, func(subject Subject, _ time.Time) bool { _, found := next[subject]; return !found })
	o.suspects, o.version = next, version
	for subject := range o.suspects {
		o.reportSuccess(subject)
	}
	return added, released
}

// Version returns the version of the list that was applied last; 0 before the first.
func (o *Observer) Version() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// Unlisted returns the suspects in quarantine that the hub did not list, in the order of
// their keys.
func (o *Observer) Unlisted(now time.Time) []Suspect {
	o.mu.Lock()
	defer o.mu.Unlock()
	var suspects []Suspect
	for _, suspect := range o.suspects {
		if !suspect.isListed && suspect.IsQuarantined(now) {
			suspects = append(suspects, suspect.Suspect)
		}
	}
	slices.SortFunc(suspects, compareKeys)
	return suspects
}

// Quarantined returns the first subject of a request that is in quarantine.
func (o *Observer) Quarantined(now time.Time, content Content) (Suspect, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.suspects) == 0 {
		return Suspect{}, false
	}
	for _, subject := range content.subjects() {
		if suspect := o.suspects[subject]; suspect.IsQuarantined(now) {
			return suspect.Suspect, true
		}
	}
	return Suspect{}, false
}

// removeExpired forgets old checks and requests whose target was not checked. The caller
// must hold o.mu.
func (o *Observer) removeExpired(now time.Time) {
	maps.DeleteFunc(o.isDown, func(_ startedTarget, c check) bool { return now.Sub(c.at) > checkTTL })
	maps.DeleteFunc(o.unchecked, func(_ startedTarget, lost []Lost) bool { return now.Sub(lost[0].LostAt) > checkTTL })
}
