package peer

import (
	"time"

	"comfreytiller.dev/admission/quarantine"
	"comfreytiller.dev/peer/peerpb"
)

// promptReportToWire returns nil for an empty report. Like all functions here, it sends
// ages instead of timestamps, since the clocks of hosts differ.
func promptReportToWire(report quarantine.Report, now time.Time) *peerpb.PromptEvidence {
	if report.IsEmpty() {
		return nil
	}
	wire := &peerpb.PromptEvidence{}
	for _, crash := range report.Crashes {
		wire.Crashes = append(wire.Crashes, &peerpb.PromptCrash{
			Part: crash.Part, Depth: int32(crash.Depth), Target: crash.Target, Incarnation: crash.Incarnation,
			SentAge: int64(now.Sub(crash.SentAt)), CrashAge: int64(now.Sub(crash.CrashedAt)),
		})
	}
	for _, success := range report.Successes {
		wire.Successes = append(wire.Successes, &peerpb.PromptSuccess{Part: success.Part, SentAge: int64(now.Sub(success.SentAt))})
	}
	return wire
}

func promptReportFromWire(wire *peerpb.PromptEvidence, now time.Time) quarantine.Report {
	var report quarantine.Report
	for _, crash := range wire.GetCrashes() {
		report.Crashes = append(report.Crashes, quarantine.Crash{
			Part: crash.Part, Depth: int(crash.Depth), Target: crash.Target, Incarnation: crash.Incarnation,
			SentAt: now.Add(-time.Duration(crash.SentAge)), CrashedAt: now.Add(-time.Duration(crash.CrashAge)),
		})
	}
	for _, success := range wire.GetSuccesses() {
		report.Successes = append(report.Successes, quarantine.Success{Part: success.Part, SentAt: now.Add(-time.Duration(success.SentAge))})
	}
	return report
}

func promptPartsToWire(parts []quarantine.Part, now time.Time) []*peerpb.PromptPartState {
	var wire []*peerpb.PromptPartState
	for _, part := range parts {
		state := &peerpb.PromptPartState{
			Part: part.Key, Crashes: int32(part.Crashes), FirstAge: int64(now.Sub(part.FirstAt)), LastAge: int64(now.Sub(part.LastAt)),
		}
		if part.IsQuarantined(now) {
			state.Remaining = int64(part.Until.Sub(now))
		}
		if !part.ClearedAt.IsZero() {
			state.Cleared, state.ClearedAge = true, int64(now.Sub(part.ClearedAt))
		}
		wire = append(wire, state)
	}
	return wire
}

func promptPartsFromWire(wire []*peerpb.PromptPartState, now time.Time) []quarantine.Part {
	var parts []quarantine.Part
	for _, state := range wire {
		part := quarantine.Part{
			Key: state.Part, Crashes: int(state.Crashes),
			FirstAt: now.Add(-time.Duration(state.FirstAge)), LastAt: now.Add(-time.Duration(state.LastAge)),
		}
		if state.Remaining > 0 {
			part.Until = now.Add(time.Duration(state.Remaining))
		}
		if state.Cleared {
			part.ClearedAt = now.Add(-time.Duration(state.ClearedAge))
		}
		parts = append(parts, part)
	}
	return parts
}
