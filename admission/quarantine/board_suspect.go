package quarantine

import (
	"maps"
	"slices"
	"time"
)

// boardSuspect is a suspect with the crashes of targets under requests with its subject.
type boardSuspect struct {
	Suspect
	depth int
	// total is the number of crashes that are counted or not independent of those, inTurn
	// that of the crashes of which each came under a request that was sent after the one
	// before, and secondAt the time of the second crash of total.
	total    int
	inTurn   int
	secondAt time.Time
	crashes  map[startedTarget]*targetCrash
	// isKnownSound is set if a request succeeded before the first crash.
	isKnownSound bool
	// isReleased is set once the suspect has left its quarantine before its end.
	isReleased bool
	// failedTrialAt is TrialAt of the last trial under which a target crashed.
	failedTrialAt time.Time
}

// targetCrash is the crash of a target as reported for one subject.
type targetCrash struct {
	sentAt    time.Time
	crashedAt time.Time
	// reports is the number of requests that were reported as lost.
	reports int
	// isExplained is set if a subject in quarantine caused the crash.
	isExplained bool
}

func newBoardSuspect(suspect Suspect) *boardSuspect {
	return &boardSuspect{Suspect: suspect, crashes: map[startedTarget]*targetCrash{}}
}

// count counts the crashes that are independent of each other. Reports arrive in another
// order on each hub, so that all crashes are counted again after each of them.
//
// The requests that were in flight at a crash may have been sent to several targets that
// crash in turn for other reasons. Only a request that was sent after the last counted
// crash tells more.
func (s *boardSuspect) count() {
	s.Crashes, s.total, s.inTurn, s.secondAt = 0, 0, 0, time.Time{}
	var last time.Time
	byTime := func(a, b *targetCrash) int { return a.crashedAt.Compare(b.crashedAt) }
	for _, crash := range slices.SortedFunc(maps.Values(s.crashes), byTime) {
		if crash.isExplained || !crash.crashedAt.After(s.ClearedAt) {
			continue
		}
		s.total++
		if s.total == 2 {
			s.secondAt = crash.crashedAt
		}
		if s.inTurn == 0 || !crash.sentAt.Before(last) {
			s.inTurn++
			last = crash.crashedAt
		}
		switch {
		case s.Crashes == 0:
			s.FirstAt = crash.crashedAt
		case crash.sentAt.Before(s.LastAt), crash.crashedAt.Sub(s.LastAt) < minCrashInterval:
			continue
		}
		s.Crashes++
		s.LastAt = crash.crashedAt
	}
}

// isCause reports whether the crashes are enough to put the suspect in quarantine. most is
// the largest number of crashes of a suspect that is not in quarantine.
func (s *boardSuspect) isCause(now time.Time, most int) bool {
	if s.IsRequest {
		return s.isCrashingRequest(now)
	}
	return s.Crashes >= maxCrashes && 2*s.total >= most && now.Sub(s.FirstAt) >= minSuspicion
}

// isCrashingRequest is isCause for the content of a request.
//
// Repeats of a request that crashes targets come to all targets of a service at once, so
// that they crash within a moment, and again when they are back; crashes with some time
// between them come too late. Other requests have a content of their own. One that was in
// flight at all the crashes, too, is one that repeats as often, and such a request has
// succeeded shortly before the first.
func (s *boardSuspect) isCrashingRequest(now time.Time) bool {
	if s.total < maxCrashes || now.Sub(s.secondAt) < minSuspicion {
		return false
	}
	return s.Crashes >= maxCrashes || s.inTurn > 1 && !s.isKnownSound
}

// release ends the quarantine of the suspect. Its crashes until then are not counted again.
func (s *boardSuspect) release(clearedAt time.Time) {
	s.Until, s.isReleased, s.ClearedAt = time.Time{}, true, clearedAt
	s.count()
}

// isRefutedBy reports whether another suspect was in flight at nearly all crashes of this one
// that were counted. If the other one comes into quarantine later, targets went on crashing
// without this one, so that it caused none of them.
//
// It corrects the choice of the wrong part when hardly any target is up. No request succeeds
// then, which would clear the parts that most prompts share.
func (s *boardSuspect) isRefutedBy(other *boardSuspect) bool {
	counted, common := 0, 0
	for target, crash := range s.crashes {
		if crash.crashedAt.Before(s.FirstAt) {
			continue
		}
		counted++
		if other.crashes[target] != nil {
			common++
		}
	}
	return counted > 0 && float64(common) >= refutingShare*float64(counted)
}

// isContainedIn reports whether another suspect was in flight at all crashes of this one
// and at more.
func (s *boardSuspect) isContainedIn(other *boardSuspect) bool {
	if other.total <= s.total {
		return false
	}
	for target, crash := range s.crashes {
		if crash.isExplained || !crash.crashedAt.After(s.ClearedAt) {
			continue
		}
		if otherCrash := other.crashes[target]; otherCrash == nil || otherCrash.isExplained || !otherCrash.crashedAt.After(other.ClearedAt) {
			return false
		}
	}
	return true
}

// reports returns the number of requests that were lost at the crashes.
func (s *boardSuspect) reports() int {
	sum := 0
	for _, crash := range s.crashes {
		sum += crash.reports
	}
	return sum
}
