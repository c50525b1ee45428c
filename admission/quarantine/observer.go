package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"comfreytiller.dev/admission"
)

const (
	// earlyPeriod is the time after the first byte of a response in which the crash of
	// the target is still attributed to the request. Targets send several tokens at a
	// time.
	earlyPeriod = 250 * time.Millisecond
	// soundPeriod is the time after the first byte of a response after which the request
	// counts as sound, even if the target is lost later.
	soundPeriod = time.Second
	// successTTL is how long a success is remembered for a part that is not suspected yet.
	successTTL = 5 * time.Second
	// checkTTL is how long the requests that were lost on a target wait for the check
	// whether it is down.
	checkTTL = 5 * time.Second
	// maxReported limits the entries of a report.
	maxReported = 64
	// maxSucceeded limits the parts whose last success is remembered.
	maxSucceeded = 4096
)

// Lost is a request whose target closed the connection before the response was complete.
type Lost struct {
	Prompt      *admission.Prompt
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

// Observer collects on an entry host what its own requests tell about parts, and holds
// the parts that the hub reports. It is safe for concurrent use.
type Observer struct {
	mu sync.Mutex
	// unchecked holds the requests that were lost on targets of which is not known yet
	// whether they are down.
	unchecked map[startedTarget][]Lost
	// isDown holds the last checks.
	isDown map[startedTarget]check
	report Report
	// parts are the parts that the hub reports, and cleared the times at which the
	// requests were sent whose success with them was reported.
	parts   map[uint64]observedPart
	cleared map[uint64]time.Time
	// succeeded holds by part when the last request was sent that succeeded.
	succeeded map[uint64]time.Time
	lastPrune time.Time
	// version is that of the hub's list of parts.
	version uint64
}

// observedPart is a part as the hub listed it. A part in quarantine that the hub does not
// list any more, as after its restart, stays.
type observedPart struct {
	Part
	isListed bool
}

// check is the result of a check whether a target is down.
type check struct {
	isDown bool
	at     time.Time
}

// NewObserver returns an observer without parts.
func NewObserver() *Observer {
	return &Observer{
		unchecked: map[startedTarget][]Lost{}, isDown: map[startedTarget]check{},
		parts: map[uint64]observedPart{}, cleared: map[uint64]time.Time{}, succeeded: map[uint64]time.Time{},
	}
}

// RecordLost records a lost request. It returns true if the caller should check whether
// the target is down and call RecordCheck: a target that still accepts connections has
// only lost this one.
func (o *Observer) RecordLost(lost Lost) bool {
	age := lost.responseAge()
	if age >= soundPeriod {
		o.RecordSuccess(lost.LostAt, lost.Prompt, lost.SentAt)
	}
	if len(sharedParts(lost.Prompt)) == 0 || age >= earlyPeriod {
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

// addCrash adds the parts of a lost request to the report. The caller must hold o.mu.
func (o *Observer) addCrash(lost *Lost) {
	for depth, part := range sharedParts(lost.Prompt) {
		if len(o.report.Crashes) == maxReported {
			return
		}
		crash := Crash{Part: part.Key, Depth: depth, Target: lost.Target, Incarnation: lost.Incarnation, SentAt: lost.SentAt, CrashedAt: lost.LostAt}
		if !slices.Contains(o.report.Crashes, crash) {
			o.report.Crashes = append(o.report.Crashes, crash)
		}
	}
}

// RecordSuccess records the complete response to a request.
func (o *Observer) RecordSuccess(now time.Time, prompt *admission.Prompt, sentAt time.Time) {
	shared := sharedParts(prompt)
	if len(shared) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.lastPrune) > successTTL {
		o.lastPrune = now
		maps.DeleteFunc(o.succeeded, func(_ uint64, at time.Time) bool { return now.Sub(at) > successTTL })
	}
	for _, part := range shared {
		if o.succeeded[part.Key].After(sentAt) || len(o.succeeded) >= maxSucceeded && o.succeeded[part.Key].IsZero() {
			continue
		}
		o.succeeded[part.Key] = sentAt
		o.reportSuccess(part.Key)
	}
}

// reportSuccess adds the last success with a suspected part to the report. The caller
// must hold o.mu.
func (o *Observer) reportSuccess(key uint64) {
	part, sentAt := o.parts[key], o.succeeded[key]
	if part.Crashes == 0 || !sentAt.After(part.FirstAt) || o.cleared[key].After(part.FirstAt) || len(o.report.Successes) == maxReported {
		return
	}
	o.cleared[key] = sentAt
	o.report.Successes = append(o.report.Successes, Success{Part: key, SentAt: sentAt})
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

// Apply replaces the parts by those of the hub, whose list has the given version. It
// returns the parts that have come into quarantine.
func (o *Observer) Apply(now time.Time, parts []Part, version uint64) []Part {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.removeExpired(now)
	next := make(map[uint64]observedPart, len(parts))
	var added []Part
	for _, part := range parts {
		next[part.Key] = observedPart{Part: part, isListed: true}
		if known := o.parts[part.Key]; part.IsQuarantined(now) && !known.IsQuarantined(now) {
			added = append(added, part)
		}
	}
	for key, part := range o.parts {
		if _, found := next[key]; !found && part.IsQuarantined(now) {
			next[key] = observedPart{Part: part.Part}
		}
	}
	maps.DeleteFunc(o.cleared, func(key uint64, _ time.Time) bool { _, found := next[key]; return !found })
	o.parts, o.version = next, version
	for key := range o.parts {
		o.reportSuccess(key)
	}
	return added
}

// Version returns the version of the list that was applied last; 0 before the first.
func (o *Observer) Version() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// Unlisted returns the parts in quarantine that the hub did not list, in the order of
// their keys.
func (o *Observer) Unlisted(now time.Time) []Part {
	o.mu.Lock()
	defer o.mu.Unlock()
	var parts []Part
	for _, part := range o.parts {
		if !part.isListed && part.IsQuarantined(now) {
			parts = append(parts, part.Part)
		}
	}
	slices.SortFunc(parts, compareKeys)
	return parts
}

// Quarantined returns the first part of a prompt that is in quarantine.
func (o *Observer) Quarantined(now time.Time, prompt *admission.Prompt) (Part, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.parts) == 0 {
		return Part{}, false
	}
	for _, shared := range sharedParts(prompt) {
		if part := o.parts[shared.Key]; part.IsQuarantined(now) {
			return part.Part, true
		}
	}
	return Part{}, false
}

// removeExpired forgets old checks and requests whose target was not checked. The caller
// must hold o.mu.
func (o *Observer) removeExpired(now time.Time) {
	maps.DeleteFunc(o.isDown, func(_ startedTarget, c check) bool { return now.Sub(c.at) > checkTTL })
	maps.DeleteFunc(o.unchecked, func(_ startedTarget, lost []Lost) bool { return now.Sub(lost[0].LostAt) > checkTTL })
}
