package peer

import (
	"time"

	"comfreytiller.dev/admission/quarantine"
	"comfreytiller.dev/peer/peerpb"
)

// crashReportToWire returns nil for an empty report. Like all functions here, it sends
// ages instead of timestamps, since the clocks of hosts differ.
func crashReportToWire(report quarantine.Report, now time.Time) *peerpb.CrashEvidence {
	if report.IsEmpty() {
		return nil
	}
	wire := &peerpb.CrashEvidence{}
	for _, crash := range report.Crashes {
		wire.Crashes = append(wire.Crashes, &peerpb.TargetCrash{
			Key: crash.Subject.Key, Request: crash.Subject.IsRequest, Depth: int32(crash.Depth), Target: crash.Target, Incarnation: crash.Incarnation,
			SentAge: int64(now.Sub(crash.SentAt)), CrashAge: int64(now.Sub(crash.CrashedAt)),
		})
	}
	for _, success := range report.Successes {
		wire.Successes = append(wire.Successes, &peerpb.SubjectSuccess{Key: success.Subject.Key, Request: success.Subject.IsRequest, SentAge: int64(now.Sub(success.SentAt))})
	}
	return wire
}

func crashReportFromWire(wire *peerpb.CrashEvidence, now time.Time) quarantine.Report {
	var report quarantine.Report
	for _, crash := range wire.GetCrashes() {
		report.Crashes = append(report.Crashes, quarantine.Crash{
			Subject: quarantine.Subject{Key: crash.Key, IsRequest: crash.Request}, Depth: int(crash.Depth), Target: crash.Target, Incarnation: crash.Incarnation,
			SentAt: now.Add(-time.Duration(crash.SentAge)), CrashedAt: now.Add(-time.Duration(crash.CrashAge)),
		})
	}
	for _, success := range wire.GetSuccesses() {
		report.Successes = append(report.Successes, quarantine.Success{Subject: quarantine.Subject{Key: success.Key, IsRequest: success.Request}, SentAt: now.Add(-time.Duration(success.SentAge))})
	}
	return report
}

func suspectsToWire(suspects []quarantine.Suspect, now time.Time) []*peerpb.SuspectState {
	var wire []*peerpb.SuspectState
	for _, suspect := range suspects {
		state := &peerpb.SuspectState{
			Key: suspect.Key, Request: suspect.IsRequest, Crashes: int32(suspect.Crashes), FirstAge: int64(now.Sub(suspect.FirstAt)), LastAge: int64(now.Sub(suspect.LastAt)),
			Compared: suspect.IsCompared,
		}
		if suspect.IsQuarantined(now) {
			state.Remaining = int64(suspect.Until.Sub(now))
		}
		if !suspect.ClearedAt.IsZero() {
			state.Cleared, state.ClearedAge = true, int64(now.Sub(suspect.ClearedAt))
		}
		if !suspect.TrialAt.IsZero() {
			state.Tried, state.TrialAge, state.FailedTrials = true, int64(now.Sub(suspect.TrialAt)), int32(suspect.FailedTrials)
		}
		wire = append(wire, state)
	}
	return wire
}

func suspectsFromWire(wire []*peerpb.SuspectState, now time.Time) []quarantine.Suspect {
	var suspects []quarantine.Suspect
	for _, state := range wire {
		suspect := quarantine.Suspect{
			Subject: quarantine.Subject{Key: state.Key, IsRequest: state.Request}, Crashes: int(state.Crashes),
			FirstAt: now.Add(-time.Duration(state.FirstAge)), LastAt: now.Add(-time.Duration(state.LastAge)),
			IsCompared: state.Compared,
		}
		if state.Remaining > 0 {
			suspect.Until = now.Add(time.Duration(state.Remaining))
		}
		if state.Cleared {
			suspect.ClearedAt = now.Add(-time.Duration(state.ClearedAge))
		}
		if state.Tried {
			suspect.TrialAt, suspect.FailedTrials = now.Add(-time.Duration(state.TrialAge)), int(state.FailedTrials)
		}
		suspects = append(suspects, suspect)
	}
	return suspects
}

func subjectsToWire(subjects []quarantine.Subject) []*peerpb.QuarantineSubject {
	var wire []*peerpb.QuarantineSubject
	for _, subject := range subjects {
		wire = append(wire, &peerpb.QuarantineSubject{Key: subject.Key, Request: subject.IsRequest})
	}
	return wire
}

func subjectsFromWire(wire []*peerpb.QuarantineSubject) []quarantine.Subject {
	var subjects []quarantine.Subject
	for _, subject := range wire {
		subjects = append(subjects, quarantine.Subject{Key: subject.Key, IsRequest: subject.Request})
	}
	return subjects
}
