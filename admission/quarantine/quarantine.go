// Package quarantine finds the requests that crash targets and keeps them away from the
// targets.
//
// A request may crash every target that begins to run it, because of a part of its prompt
// or because of its whole content. Callers send such requests to any host, so that a host
// sees one of them now and then, each on another target, and the requests that happened to
// wait on the same targets fail with them. A host therefore reports the subjects of the
// requests whose target crashed before the response began: the parts of the prompt that
// other requests may share, and the content that repeats of the request share. Afterwards
// it reports the subjects among them with which a request succeeded. Hubs share the
// reports, count the crashes of each subject and put one in quarantine that reaches the
// limit. Hosts refuse the requests with a subject in quarantine, but for a trial now and then: a
// request whose success ends the quarantine.
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
//	observer.Apply(now, suspects, version)
//	if suspect, found := observer.Quarantined(now, content); found && !observer.TakeTrial(now, content) { ... }
//	refused := observer.TakeRefused()
//	observer.ApplyTrials(now, granted)
//
// On a hub:
//
//	board := quarantine.NewBoard()
//	board.Record(now, report)
//	board.Merge(now, suspectsOfAnotherHub)
//	for _, suspect := range board.Update(now) { ... }
//	granted := board.GrantTrials(now, refused, turnOf)
package quarantine

import (
	"fmt"
	"time"

	"comfreytiller.dev/admission"
)

const (
	// maxCrashes is the number of crashes after which a subject is put in quarantine.
	maxCrashes = 3
	// minCrashInterval is the minimum time between two crashes that are counted as
	// independent. Requests with a rare subject may wait on several targets that crash at
	// nearly the same time.
	minCrashInterval = 600 * time.Millisecond
	// minSuspicion is how long a subject is suspected before it is put in quarantine. By
	// then, hosts have reported the requests with a sound subject that succeeded.
	minSuspicion = 2 * time.Second
	// refutingShare is the share of a part's crashes at which a later cause must have been in
	// flight to end the part's quarantine. Targets crash for other reasons, too.
	refutingShare = 0.8
	// suspicionTTL is how long a suspect is remembered after its last crash.
	suspicionTTL = 30 * time.Second
	// quarantinePeriod is how long a suspect stays in quarantine.
	quarantinePeriod = 10 * time.Minute
	// maxSuspects limits the suspects that are kept. Beyond it, the one not in quarantine
	// whose last crash is the longest ago is dropped.
	maxSuspects = 4096
	// publishInterval is the minimum interval between two lists for hosts without a change
	// of a quarantine. maxPublishedParts and maxPublishedRequests limit the suspects in a
	// list that are not in quarantine.
	publishInterval      = 500 * time.Millisecond
	maxPublishedParts    = 16
	maxPublishedRequests = 16
)

// Subject is what a request has in common with others that may crash targets: a part of
// its prompt, or its whole content.
type Subject struct {
	// IsRequest is set for the whole content.
	IsRequest bool
	Key       uint64
}

// PromptPart returns the subject of a part of a prompt.
func PromptPart(key uint64) Subject { return Subject{Key: key} }

// Request returns the subject of the content of a request.
func Request(contentKey uint64) Subject { return Subject{IsRequest: true, Key: contentKey} }

func (s Subject) String() string {
	if s.IsRequest {
		return fmt.Sprintf("request content %x", s.Key)
	}
	return fmt.Sprintf("prompt part %x", s.Key)
}

// Content is what is known of a request's content. Prompt is nil and Key 0 for unknown.
type Content struct {
	Prompt *admission.Prompt
	Key    uint64
}

// subjects returns the subjects of a request: the parts that other prompts may share, in
// their order, and the whole content. The last part belongs to the request or its session.
func (c Content) subjects() []Subject {
	var subjects []Subject
	if c.Prompt != nil && len(c.Prompt.Parts) > 1 {
		for _, part := range c.Prompt.Parts[:len(c.Prompt.Parts)-1] {
			subjects = append(subjects, PromptPart(part.Key))
		}
	}
	if c.Key != 0 {
		subjects = append(subjects, Request(c.Key))
	}
	return subjects
}

// Crash reports that a target crashed before the response to a request with the subject
// had begun.
type Crash struct {
	Subject Subject
	// Depth is the position of a part in the prompt.
	Depth       int
	Target      string
	Incarnation uint64
	SentAt      time.Time
	CrashedAt   time.Time
}

// Success reports that a request with the subject received its complete response.
type Success struct {
	Subject Subject
	SentAt  time.Time
}

// Report is what a host reports to its hub, and a hub to the other hubs.
type Report struct {
	Crashes   []Crash
	Successes []Success
}

// IsEmpty reports whether there is nothing to report.
func (r *Report) IsEmpty() bool { return len(r.Crashes) == 0 && len(r.Successes) == 0 }

// Suspect is what is known of a subject that is suspected or in quarantine.
type Suspect struct {
	Subject
	// Crashes is the number of consecutive crashes: each was caused by a request that
	// was sent after the one before, and no request sent since the first succeeded.
	Crashes int
	FirstAt time.Time
	LastAt  time.Time
	// Until is the end of the quarantine; zero for a suspect that is not in quarantine.
	Until time.Time
	// ClearedAt is when the request was sent whose success cleared the suspect; zero if
	// there was none. Crashes is then counted anew.
	ClearedAt time.Time
	// IsCompared is set if requests without the subject have succeeded between its first crash and
	// its quarantine.
	IsCompared bool
	// TrialAt is when the last request that tests the quarantine was granted; zero for none.
	// FailedTrials is the number of those under which a target crashed.
	TrialAt      time.Time
	FailedTrials int
}

// IsQuarantined reports whether the suspect is in quarantine.
func (s *Suspect) IsQuarantined(now time.Time) bool { return now.Before(s.Until) }

// hasExpired reports whether the suspect need not be remembered any more.
func (s *Suspect) hasExpired(now time.Time) bool {
	return !s.IsQuarantined(now) && now.Sub(s.LastAt) > suspicionTTL && now.Sub(s.ClearedAt) > suspicionTTL
}
