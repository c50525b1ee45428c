// Package quarantine finds prompt parts that crash targets and keeps requests with them
// away from the targets.
//
// A request with such a part crashes every target that begins to respond to it. Callers
// send such requests to any host, so that a host sees one of them now and then, each on
// another target, and the requests that happened to wait on the same targets fail with
// them. A host therefore reports the parts of the requests whose target crashed before
// the response began, and afterwards the parts among them with which a request succeeded.
// Hubs share the reports, count the consecutive crashes of each part and put a part in
// quarantine that reaches the limit. Hosts refuse the requests with a part in quarantine.
//
// The package does no I/O and starts no goroutine; the time is an argument.
//
// # Usage
//
// On an entry host:
//
//	observer := quarantine.NewObserver()
//	if observer.RecordLost(lost) {
//		observer.RecordCheck(lost.Target, lost.Incarnation, isDown)
//	}
//	report := observer.TakeReport()
//	observer.Apply(now, parts, version)
//	if part, found := observer.Quarantined(now, prompt); found { ... }
//
// On a hub:
//
//	board := quarantine.NewBoard()
//	board.Record(now, report)
//	board.Merge(now, partsOfAnotherHub)
//	for _, part := range board.Update(now) { ... }
package quarantine

import (
	"time"

	"comfreytiller.dev/admission"
)

const (
	// maxCrashes is the number of consecutive crashes after which a part is put in
	// quarantine.
	maxCrashes = 3
	// minCrashInterval is the minimum time between two crashes that are counted. Requests
	// with a rare part may wait on several targets that crash at nearly the same time.
	minCrashInterval = 600 * time.Millisecond
	// minSuspicion is how long a part is suspected before it is put in quarantine. By
	// then, hosts have reported the requests with a sound part that succeeded meanwhile.
	minSuspicion = 2 * time.Second
	// suspicionTTL is how long a suspected part is remembered after its last crash.
	suspicionTTL = 30 * time.Second
	// quarantinePeriod is how long a part stays in quarantine.
	quarantinePeriod = 10 * time.Minute
	// maxParts limits the parts that are kept. Beyond it, the suspected part whose last
	// crash is the longest ago is dropped.
	maxParts = 4096
	// publishInterval is the minimum interval between two lists for hosts without a change
	// of a quarantine, and maxPublishedSuspects limits the suspected parts in a list.
	publishInterval      = 500 * time.Millisecond
	maxPublishedSuspects = 16
)

// Crash reports that a target crashed before the response to a request with the part
// had begun.
type Crash struct {
	Part uint64
	// Depth is the position of the part in the prompt.
	Depth       int
	Target      string
	Incarnation uint64
	SentAt      time.Time
	CrashedAt   time.Time
}

// Success reports that a request with the part received its complete response.
type Success struct {
	Part   uint64
	SentAt time.Time
}

// Report is what a host reports to its hub, and a hub to the other hubs.
type Report struct {
	Crashes   []Crash
	Successes []Success
}

// IsEmpty reports whether there is nothing to report.
func (r *Report) IsEmpty() bool { return len(r.Crashes) == 0 && len(r.Successes) == 0 }

// Part is what is known of a suspected part or one in quarantine.
type Part struct {
	Key uint64
	// Crashes is the number of consecutive crashes: each was caused by a request that
	// was sent after the one before, and no request sent since the first succeeded.
	Crashes int
	FirstAt time.Time
	LastAt  time.Time
	// Until is the end of the quarantine; zero for a part that is not in quarantine.
	Until time.Time
	// ClearedAt is when the request was sent whose success cleared the part; zero if
	// there was none. Crashes is then counted anew.
	ClearedAt time.Time
}

// IsQuarantined reports whether the part is in quarantine.
func (p *Part) IsQuarantined(now time.Time) bool { return now.Before(p.Until) }

// hasExpired reports whether the part need not be remembered any more.
func (p *Part) hasExpired(now time.Time) bool {
	return !p.IsQuarantined(now) && now.Sub(p.LastAt) > suspicionTTL && now.Sub(p.ClearedAt) > suspicionTTL
}

// sharedParts returns the parts of a prompt that other requests may share: all but the
// last, which belongs to the request or its session.
func sharedParts(prompt *admission.Prompt) []admission.PromptPart {
	if prompt == nil || len(prompt.Parts) < 2 {
		return nil
	}
	return prompt.Parts[:len(prompt.Parts)-1]
}
