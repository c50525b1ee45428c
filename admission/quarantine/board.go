package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Board counts the crashes by part on a hub. It is safe for concurrent use.
type Board struct {
	mu    sync.Mutex
	parts map[uint64]*boardPart
	// explained holds the crashes that parts in quarantine caused.
	explained map[startedTarget]bool
	// published is the list for hosts, and version increases with each change of it.
	published   []Part
	publishedAt time.Time
	version     uint64
	// hasUrgentChange is set if a quarantine has changed that is not published yet.
	// urgentVersion is the version of the last such change; urgentPublished is closed at
	// the next one.
	hasUrgentChange bool
	urgentVersion   uint64
	urgentPublished chan struct{}
}

// boardPart is a part with the crashes of targets under requests with it.
type boardPart struct {
	Part
	depth int
	// total is the number of crashes that are counted or not independent of those.
	total   int
	crashes map[startedTarget]*targetCrash
	// isReleased is set once the part has left its quarantine because of a success.
	isReleased bool
}

// targetCrash is the crash of a target as reported for one part.
type targetCrash struct {
	sentAt    time.Time
	crashedAt time.Time
	// isExplained is set if a part in quarantine caused the crash.
	isExplained bool
}

func newBoardPart(part Part) *boardPart {
	return &boardPart{Part: part, crashes: map[startedTarget]*targetCrash{}}
}

// count counts the crashes that are independent of each other. Reports arrive in another
// order on each hub, so that all crashes are counted again after each of them.
//
// The requests that were in flight at a crash may have been sent to several targets that
// crash in turn for other reasons. Only a request that was sent after the last counted
// crash tells more.
func (p *boardPart) count() {
	p.Crashes, p.total = 0, 0
	byTime := func(a, b *targetCrash) int { return a.crashedAt.Compare(b.crashedAt) }
	for _, crash := range slices.SortedFunc(maps.Values(p.crashes), byTime) {
		if crash.isExplained || !crash.crashedAt.After(p.ClearedAt) {
			continue
		}
		p.total++
		switch {
		case p.Crashes == 0:
			p.FirstAt = crash.crashedAt
		case crash.sentAt.Before(p.LastAt), crash.crashedAt.Sub(p.LastAt) < minCrashInterval:
			continue
		}
		p.Crashes++
		p.LastAt = crash.crashedAt
	}
}

// startedTarget is one incarnation of a target.
type startedTarget struct {
	name        string
	incarnation uint64
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{parts: map[uint64]*boardPart{}, explained: map[startedTarget]bool{}, version: 1, urgentPublished: make(chan struct{})}
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

// Update forgets the parts that need not be remembered any more, and puts in quarantine
// those that reached the limit of crashes. It returns the latter, and publishes the list
// for hosts. It is called several times a second.
//
// The part that is the likeliest cause goes first and explains its crashes: they are no
// longer counted for the parts of other requests that waited on the same targets.
func (b *Board) Update(now time.Time) []Part {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeExpired(now)
	var added []Part
	for part := b.likeliestCause(now); part != nil; part = b.likeliestCause(now) {
		part.Until = now.Add(quarantinePeriod)
		for target := range part.crashes {
			b.explain(part, target)
		}
		b.hasUrgentChange = true
		added = append(added, part.Part)
	}
	b.publish(now)
	return added
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

// selectPublished selects the parts that hosts need to know: those in quarantine or
// released from it, and the ones that are suspected of the most crashes. When many
// targets are lost at once, hundreds of parts are suspected of one crash, and their list
// would use up the links of hubs. The caller must hold b.mu.
func (b *Board) selectPublished() []Part {
	var list []Part
	var suspected []*boardPart
	for _, part := range b.parts {
		switch {
		case !part.Until.IsZero() || part.isReleased:
			list = append(list, part.Part)
		case part.Crashes > 0:
			suspected = append(suspected, part)
		}
	}
	slices.SortFunc(suspected, func(a, b *boardPart) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(b.total, a.total), cmp.Compare(a.Key, b.Key))
	})
	for _, part := range suspected[:min(len(suspected), maxPublishedSuspects)] {
		list = append(list, part.Part)
	}
	slices.SortFunc(list, compareKeys)
	return list
}

// likeliestCause returns the part that is to be put in quarantine next; nil if there is
// none. The caller must hold b.mu.
//
// The parts before the cause in its prompts have at least as many crashes, unless a
// request without the cause succeeded. So the deepest part goes first, unless it has far
// fewer crashes than another one.
func (b *Board) likeliestCause(now time.Time) *boardPart {
	most := 0
	for _, part := range b.parts {
		if part.Until.IsZero() {
			most = max(most, part.total)
		}
	}
	var likeliest *boardPart
	for _, part := range b.parts {
		if !part.Until.IsZero() || part.Crashes < maxCrashes || 2*part.total < most || now.Sub(part.FirstAt) < minSuspicion {
			continue
		}
		if likeliest == nil || compareLikelihood(part, likeliest) > 0 {
			likeliest = part
		}
	}
	return likeliest
}

// compareLikelihood compares parts by depth, then by crashes.
func compareLikelihood(a, b *boardPart) int {
	return cmp.Or(cmp.Compare(a.depth, b.depth), cmp.Compare(a.total, b.total), cmp.Compare(a.Key, b.Key))
}

// explain stops counting the crash of a target for all parts but the one that caused it.
// The caller must hold b.mu.
func (b *Board) explain(cause *boardPart, target startedTarget) {
	b.explained[target] = true
	for _, part := range b.parts {
		if crash := part.crashes[target]; part != cause && crash != nil && !crash.isExplained && part.Until.IsZero() {
			crash.isExplained = true
			part.count()
		}
	}
}

// recordCrash records the crash of a target under a request with a part. The caller must
// hold b.mu.
func (b *Board) recordCrash(now time.Time, crash Crash) {
	target := startedTarget{crash.Target, crash.Incarnation}
	part := b.parts[crash.Part]
	if part == nil {
		b.removeExcess()
		part = newBoardPart(Part{Key: crash.Part})
		b.parts[crash.Part] = part
	}
	part.depth = max(part.depth, crash.Depth)
	if known := part.crashes[target]; known != nil {
		if crash.SentAt.After(known.sentAt) {
			known.sentAt = crash.SentAt
		}
		return
	}
	part.crashes[target] = &targetCrash{sentAt: crash.SentAt, crashedAt: crash.CrashedAt, isExplained: b.explained[target]}
	if part.IsQuarantined(now) {
		b.explain(part, target)
		return
	}
	part.count()
}

// recordSuccess clears a part if a request with it that was sent after its first crash
// succeeded. The caller must hold b.mu.
func (b *Board) recordSuccess(success Success) {
	part := b.parts[success.Part]
	if part == nil || part.Crashes == 0 || !success.SentAt.After(part.FirstAt) || !success.SentAt.After(part.ClearedAt) {
		return
	}
	if !part.Until.IsZero() {
		part.Until, part.isReleased, b.hasUrgentChange = time.Time{}, true, true
	}
	part.ClearedAt = success.SentAt
	part.count()
}

// Merge adds the parts that another hub or a host has in quarantine, and returns those
// that were not in quarantine here.
func (b *Board) Merge(now time.Time, parts []Part) []Part {
	b.mu.Lock()
	defer b.mu.Unlock()
	var added []Part
	for _, part := range parts {
		known := b.parts[part.Key]
		if known == nil {
			known = newBoardPart(Part{Key: part.Key})
		}
		if !part.IsQuarantined(now) || known.IsQuarantined(now) || part.FirstAt.Before(known.ClearedAt) {
			continue
		}
		known.Part = part
		b.parts[part.Key] = known
		for target := range known.crashes {
			b.explain(known, target)
		}
		b.hasUrgentChange = true
		added = append(added, part)
	}
	b.publish(now)
	return added
}

// Parts returns the published list, in the order of the keys, and its version.
func (b *Board) Parts() ([]Part, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.published, b.version
}

// Quarantined returns the parts in quarantine, in the order of their keys.
func (b *Board) Quarantined(now time.Time) []Part {
	b.mu.Lock()
	defer b.mu.Unlock()
	var parts []Part
	for _, part := range b.parts {
		if part.IsQuarantined(now) {
			parts = append(parts, part.Part)
		}
	}
	slices.SortFunc(parts, compareKeys)
	return parts
}

// UrgentVersion returns the version of the last list with a change of a quarantine, and a
// channel that is closed when the next one is published.
func (b *Board) UrgentVersion() (uint64, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.urgentVersion, b.urgentPublished
}

// removeExpired removes the parts that need not be remembered. The caller must hold b.mu.
func (b *Board) removeExpired(now time.Time) {
	maps.DeleteFunc(b.parts, func(_ uint64, p *boardPart) bool { return p.hasExpired(now) })
	if len(b.parts) == 0 {
		clear(b.explained)
	}
}

// removeExcess makes room for a part by dropping a suspected one. The caller must hold
// b.mu.
func (b *Board) removeExcess() {
	if len(b.parts) < maxParts {
		return
	}
	var oldest *boardPart
	for _, part := range b.parts {
		if part.Until.IsZero() && (oldest == nil || part.LastAt.Before(oldest.LastAt)) {
			oldest = part
		}
	}
	if oldest != nil {
		delete(b.parts, oldest.Key)
	}
}

func compareKeys(a, b Part) int { return cmp.Compare(a.Key, b.Key) }
