package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Board counts the crashes by subject on a hub. It is safe for concurrent use.
type Board struct {
	mu       sync.Mutex
	suspects map[Subject]*boardSuspect
	// explained holds the crashes that suspects in quarantine caused.
	explained map[startedTarget]bool
	// unexplainedAt is when a target last crashed for another cause, succeededAt when the last
	// request was sent whose success with some suspect was reported.
	unexplainedAt, succeededAt time.Time
	// published is the list for hosts, and version increases with each change of it.
	published   []Suspect
	publishedAt time.Time
	version     uint64
	// hasUrgentChange is set if a quarantine has changed that is not published yet.
	// urgentVersion is the version of the last such change; urgentPublished is closed at
	// the next one.
	hasUrgentChange bool
	urgentVersion   uint64
	urgentPublished chan struct{}
}

// startedTarget is one incarnation of a target.
type startedTarget struct {
	name        string
	incarnation uint64
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{suspects: map[Subject]*boardSuspect{}, explained: map[startedTarget]bool{}, version: 1, urgentPublished: make(chan struct{})}
}

// Record records a report.
func (b *Board) Record(now time.Time, report Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, success := range report.Successes {
		b.recordSuccess(success)
	}
	byTime := func(a, b Crash) int { return a.CrashedAt.Compare(b.CrashedAt) }
	for _, crash := range slices.SortedStableFunc(slices.Values(report.Crashes), byTime) {
		b.recordCrash(now, crash)
	}
}

// Update forgets the suspects that need not be remembered any more, and puts in quarantine
// those that reached the limit of crashes. It returns the latter, and publishes the list
// for hosts. It is called several times a second.
//
// The suspect that is the likeliest cause goes first and explains its crashes: they are no
// longer counted for the suspects of other requests that waited on the same targets.
func (b *Board) Update(now time.Time) []Suspect {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeExpired(now)
	var added []Suspect
	for suspect := b.likeliestCause(now); suspect != nil; suspect = b.likeliestCause(now) {
		suspect.Until, suspect.FailedTrials, suspect.TrialAt = now.Add(quarantinePeriod), 0, time.Time{}
		// A success with the subject would have cleared it. All other requests are without a whole
		// request, and their successes aren't reported.
		suspect.IsCompared = suspect.IsRequest || b.succeededAt.After(suspect.FirstAt)
		for target := range suspect.crashes {
			b.explain(suspect, target)
		}
		b.hasUrgentChange = true
		b.releaseRefuted(now, suspect)
		added = append(added, suspect.Suspect)
	}
	b.publish(now)
	return added
}

// releaseRefuted ends the quarantine of the parts whose crashes a suspect that has come into
// quarantine later explains. The caller must hold b.mu.
func (b *Board) releaseRefuted(now time.Time, cause *boardSuspect) {
	for _, suspect := range b.suspects {
		if suspect != cause && !suspect.IsRequest && suspect.IsQuarantined(now) && suspect.isRefutedBy(cause) {
			suspect.release(now)
			b.hasUrgentChange = true
		}
	}
}

// publish updates the list for hosts if there is an urgent change or the last list is
// older than publishInterval. The caller must hold b.mu.
func (b *Board) publish(now time.Time) {
	if !b.hasUrgentChange && now.Sub(b.publishedAt) < publishInterval {
		return
	}
	list := b.selectPublished()
	if slices.Equal(list, b.published) {
		return
	}
	b.published, b.publishedAt = list, now
	b.version++
	if b.hasUrgentChange {
		b.hasUrgentChange, b.urgentVersion = false, b.version
		close(b.urgentPublished)
		b.urgentPublished = make(chan struct{})
	}
}

// selectPublished selects the suspects that hosts need to know: those in quarantine or
// released from it, and the ones with the most crashes. When many targets are lost at once,
// hundreds of subjects are suspected of one crash, and their list would use up the links of
// hubs. Requests are listed from their second crash, before which they are no candidates.
// The caller must hold b.mu.
func (b *Board) selectPublished() []Suspect {
	var list []Suspect
	var parts, requests []*boardSuspect
	for _, suspect := range b.suspects {
		switch {
		case !suspect.Until.IsZero() || suspect.isReleased:
			list = append(list, suspect.Suspect)
		case suspect.IsRequest && suspect.total > 1:
			requests = append(requests, suspect)
		case !suspect.IsRequest && suspect.Crashes > 0:
			parts = append(parts, suspect)
		}
	}
	for _, group := range []struct {
		suspects []*boardSuspect
		most     int
	}{{parts, maxPublishedParts}, {requests, maxPublishedRequests}} {
		slices.SortFunc(group.suspects, func(a, b *boardSuspect) int {
			return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(b.total, a.total), compareKeys(a.Suspect, b.Suspect))
		})
		for _, suspect := range group.suspects[:min(len(group.suspects), group.most)] {
			list = append(list, suspect.Suspect)
		}
	}
	slices.SortFunc(list, compareKeys)
	return list
}

// likeliestCause returns the suspect that is to be put in quarantine next; nil if there is
// none. The caller must hold b.mu.
//
// The parts before the cause in its prompts have at least as many crashes, unless a
// request without the cause succeeded. So the deepest part goes first, unless it has far
// fewer crashes than another one, and the content of a request before its parts, unless
// one of these was in flight at more crashes.
func (b *Board) likeliestCause(now time.Time) *boardSuspect {
	most := 0
	for _, suspect := range b.suspects {
		if suspect.Until.IsZero() {
			most = max(most, suspect.total)
		}
	}
	var likeliest *boardSuspect
	for _, suspect := range b.suspects {
		if !suspect.Until.IsZero() || !suspect.isCause(now, most) || suspect.IsRequest && b.hasWiderPart(suspect) {
			continue
		}
		if likeliest == nil || compareLikelihood(suspect, likeliest) > 0 {
			likeliest = suspect
		}
	}
	return likeliest
}

// hasWiderPart reports whether a suspected prompt part was in flight at all crashes of a
// request and at more. The caller must hold b.mu.
func (b *Board) hasWiderPart(request *boardSuspect) bool {
	for _, suspect := range b.suspects {
		if !suspect.IsRequest && suspect.Until.IsZero() && request.isContainedIn(suspect) {
			return true
		}
	}
	return false
}

// compareLikelihood compares suspects: requests before parts, then by depth, by crashes and
// by the requests that were lost at them.
func compareLikelihood(a, b *boardSuspect) int {
	isRequest := func(s *boardSuspect) int {
		if s.IsRequest {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(isRequest(a), isRequest(b)), cmp.Compare(a.depth, b.depth), cmp.Compare(a.total, b.total),
		cmp.Compare(a.reports(), b.reports()), cmp.Compare(a.Key, b.Key),
	)
}

// explain stops counting the crash of a target for all suspects but the one that caused it.
// The caller must hold b.mu.
func (b *Board) explain(cause *boardSuspect, target startedTarget) {
	b.explained[target] = true
	for _, suspect := range b.suspects {
		if crash := suspect.crashes[target]; suspect != cause && crash != nil && !crash.isExplained && suspect.Until.IsZero() {
			crash.isExplained = true
			suspect.count()
		}
	}
}

// recordCrash records the crash of a target under a request with a subject. The caller must
// hold b.mu.
func (b *Board) recordCrash(now time.Time, crash Crash) {
	target := startedTarget{crash.Target, crash.Incarnation}
	suspect := b.suspects[crash.Subject]
	if suspect == nil {
		b.removeExcess()
		suspect = newBoardSuspect(Suspect{Subject: crash.Subject})
		b.suspects[crash.Subject] = suspect
	}
	if !crash.Subject.IsRequest {
		suspect.depth = max(suspect.depth, crash.Depth)
	}
	if known := suspect.crashes[target]; known != nil {
		known.reports++
		if crash.SentAt.After(known.sentAt) {
			known.sentAt = crash.SentAt
			suspect.count()
		}
		return
	}
	suspect.crashes[target] = &targetCrash{sentAt: crash.SentAt, crashedAt: crash.CrashedAt, reports: 1, isExplained: b.explained[target]}
	if suspect.IsQuarantined(now) {
		suspect.recordCrashInQuarantine(crash.SentAt)
		b.explain(suspect, target)
		return
	}
	suspect.count()
	if !b.explained[target] {
		b.unexplainedAt = latest(b.unexplainedAt, crash.CrashedAt)
	}
}

// recordSuccess clears a suspect if a request with it that was sent after its first crash
// succeeded. A request that succeeded before is known as sound. The caller must hold b.mu.
func (b *Board) recordSuccess(success Success) {
	suspect := b.suspects[success.Subject]
	if suspect == nil || suspect.Crashes == 0 {
		return
	}
	b.succeededAt = latest(b.succeededAt, success.SentAt)
	suspect.isKnownSound = true
	if !success.SentAt.After(suspect.FirstAt) || !success.SentAt.After(suspect.ClearedAt) {
		return
	}
	if !suspect.Until.IsZero() {
		b.hasUrgentChange = true
		suspect.release(success.SentAt)
		return
	}
	suspect.ClearedAt = success.SentAt
	suspect.count()
}

// Merge adds the suspects that another hub or a host has in quarantine, and returns those
// that were not in quarantine here.
func (b *Board) Merge(now time.Time, suspects []Suspect) []Suspect {
	b.mu.Lock()
	defer b.mu.Unlock()
	var added []Suspect
	for _, suspect := range suspects {
		known := b.suspects[suspect.Subject]
		if known == nil {
			known = newBoardSuspect(Suspect{Subject: suspect.Subject})
		}
		if known.IsQuarantined(now) {
			known.mergeTrials(&suspect)
		}
		if !suspect.IsQuarantined(now) || known.IsQuarantined(now) || suspect.FirstAt.Before(known.ClearedAt) {
			continue
		}
		known.Suspect = suspect
		b.suspects[suspect.Subject] = known
		for target := range known.crashes {
			b.explain(known, target)
		}
		b.releaseRefuted(now, known)
		b.hasUrgentChange = true
		added = append(added, suspect)
	}
	b.publish(now)
	return added
}

// Suspects returns the published list, in the order of the keys, and its version.
func (b *Board) Suspects() ([]Suspect, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.published, b.version
}

// Quarantined returns the suspects in quarantine, in the order of their keys.
func (b *Board) Quarantined(now time.Time) []Suspect {
	b.mu.Lock()
	defer b.mu.Unlock()
	var suspects []Suspect
	for _, suspect := range b.suspects {
		if suspect.IsQuarantined(now) {
			suspects = append(suspects, suspect.Suspect)
		}
	}
	slices.SortFunc(suspects, compareKeys)
	return suspects
}

// UrgentVersion returns the version of the last list with a change of a quarantine, and a
// channel that is closed when the next one is published.
func (b *Board) UrgentVersion() (uint64, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.urgentVersion, b.urgentPublished
}

// removeExpired removes the suspects that need not be remembered. The caller must hold b.mu.
func (b *Board) removeExpired(now time.Time) {
	maps.DeleteFunc(b.suspects, func(_ Subject, p *boardSuspect) bool { return p.hasExpired(now) })
	if len(b.suspects) == 0 {
		clear(b.explained)
	}
}

// removeExcess makes room for a suspect by dropping a suspected one. The caller must hold
// b.mu.
func (b *Board) removeExcess() {
	if len(b.suspects) < maxSuspects {
		return
	}
	var oldest *boardSuspect
	for _, suspect := range b.suspects {
		if suspect.Until.IsZero() && (oldest == nil || suspect.LastAt.Before(oldest.LastAt)) {
			oldest = suspect
		}
	}
	if oldest != nil {
		delete(b.suspects, oldest.Subject)
	}
}

// compareKeys orders parts before requests, each by their keys.
func compareKeys(a, b Suspect) int {
	if a.IsRequest != b.IsRequest {
		if b.IsRequest {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Key, b.Key)
}
