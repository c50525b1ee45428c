package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// comparedTrialDelay replaces firstTrialDelay if requests without the subject have succeeded since
	// its first crash: the verdict is then hardly wrong, and each trial may cost a target.
	comparedTrialDelay = time.Minute
	// firstTrialDelay is the time from the last crash under requests with a subject, from the
	// beginning of its quarantine, and from a trial, until a request may test it. It is
	// multiplied by trialDelayFactor for each trial under which a target crashed.
	firstTrialDelay  = 5 * time.Second
	trialDelayFactor = 3
	// trialQuiet is how long no target may have crashed for a cause that isn't in quarantine. Until
	// then, the crashes go on, and a trial that meets one tells nothing.
	trialQuiet = 2 * time.Second
	// trialTurn is how long a hub leaves a trial that is due to each of the hubs before it.
	trialTurn = 500 * time.Millisecond
	// trialTTL is how long a host may use a trial.
	trialTTL = 2 * time.Second
	// maxRefused limits the refused subjects that a host reports at a time.
	maxRefused = 16
)

// TrialDueAt returns when the next request may test the verdict on a suspect in quarantine.
//
// Load: all targets of a service crash together several times, for a cause of their own, under
// requests that share a part. Nothing without the part was there to compare, and nothing with it
// would ever be sent again. Beside it, a part that does crash targets costs one target at each
// trial, so that trials become rare.
func (s *Suspect) TrialDueAt() time.Time {
	delay := firstTrialDelay
	if s.IsCompared {
		delay = comparedTrialDelay
	}
	for range s.FailedTrials {
		delay *= trialDelayFactor
	}
	return latest(s.LastAt, s.Until.Add(-quarantinePeriod), s.TrialAt).Add(delay)
}

// RetryAfter returns the delay after which a refused request may be served: once the next trial
// could have ended the quarantine, or at its end.
func (s *Suspect) RetryAfter(now time.Time) time.Duration {
	decidedAt := s.TrialDueAt().Add(trialTTL + soundPeriod)
	return max(min(decidedAt.Sub(now), s.Until.Sub(now)), soundPeriod)
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// GrantTrials grants a trial for each of the subjects that a host has refused lately and whose next
// one is due, and returns the suspects. Each hub has a turn of its own for each subject, from 0, so
// that one of them grants a trial and the others learn of it before they would.
func (b *Board) GrantTrials(now time.Time, subjects []Subject, turnOf func(Subject) int) []Suspect {
	b.mu.Lock()
	defer b.mu.Unlock()
	var granted []Suspect
	if now.Sub(b.unexplainedAt) < trialQuiet {
		return nil
	}
	for _, subject := range subjects {
		suspect := b.suspects[subject]
		if suspect == nil || !suspect.IsQuarantined(now) {
			continue
		}
		if turn := time.Duration(turnOf(subject)) * trialTurn; now.Before(suspect.TrialDueAt().Add(turn)) {
			continue
		}
		suspect.TrialAt = now
		granted = append(granted, suspect.Suspect)
	}
	return granted
}

// mergeTrials takes over what another hub knows of trials.
func (s *Suspect) mergeTrials(other *Suspect) {
	s.IsCompared = s.IsCompared || other.IsCompared
	s.TrialAt, s.FailedTrials = latest(s.TrialAt, other.TrialAt), max(s.FailedTrials, other.FailedTrials)
}

// recordCrashInQuarantine counts a crash under a request that was sent since the last trial.
func (s *boardSuspect) recordCrashInQuarantine(sentAt time.Time) {
	// Hubs know TrialAt by its age, so that it differs a little with each message.
	if s.TrialAt.IsZero() || sentAt.Before(s.TrialAt) || s.TrialAt.Sub(s.failedTrialAt) < trialTTL {
		return
	}
	s.failedTrialAt = s.TrialAt
	s.FailedTrials++
}

// recordRefused records the subjects in quarantine because of which a request is refused. The
// caller must hold o.mu.
func (o *Observer) recordRefused(subjects []Subject) {
	for _, subject := range subjects {
		if len(o.refused) < maxRefused {
			o.refused[subject] = true
		}
	}
}

// TakeRefused returns the subjects in quarantine because of which requests were refused since the
// last call.
func (o *Observer) TakeRefused() []Subject {
	o.mu.Lock()
	defer o.mu.Unlock()
	refused := slices.SortedFunc(maps.Keys(o.refused), func(a, b Subject) int { return compareKeys(Suspect{Subject: a}, Suspect{Subject: b}) })
	clear(o.refused)
	return refused
}

// ApplyTrials records the trials that the hub has granted to this host: for each of the subjects,
// one request may be sent within trialTTL.
func (o *Observer) ApplyTrials(now time.Time, subjects []Subject) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, subject := range subjects {
		o.trials[subject] = now.Add(trialTTL)
	}
}

// TakeTrial reports whether a request whose content is in quarantine may be sent as a trial, and
// uses the trials of all of its subjects in quarantine. If it may not, they are reported to the hub.
func (o *Observer) TakeTrial(now time.Time, content Content) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	var quarantined []Subject
	isGranted := true
	for _, subject := range content.subjects() {
		suspect := o.suspects[subject]
		if !suspect.IsQuarantined(now) {
			continue
		}
		quarantined = append(quarantined, subject)
		isGranted = isGranted && now.Before(o.trials[subject])
	}
	if !isGranted {
		o.recordRefused(quarantined)
		return false
	}
	for _, subject := range quarantined {
		delete(o.trials, subject)
	}
	return true
}
