package peer

import (
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/peer/peerpb"
)

func encodeAdmissionBody(wire *peerpb.Frame, message Message, now time.Time) {
	switch m := message.(type) {
	case AcquireRequest:
		wire.Body = &peerpb.Frame_Acquire{Acquire: acquireToWire(m, now)}
	case Permit:
		wire.Body = &peerpb.Frame_Permit{Permit: grantToWire(m.Permit)}
	case Refusal:
		wire.Body = &peerpb.Frame_Refusal{Refusal: refusalToWire(m.Refusal)}
	case Releases:
		wire.Body = &peerpb.Frame_Releases{Releases: releasesToWire(m)}
	case AdoptPermits:
		wire.Body = &peerpb.Frame_Adopt{Adopt: adoptToWire(m)}
	}
}

func decodeAdmissionBody(wire *peerpb.Frame, now time.Time) Message {
	switch b := wire.Body.(type) {
	case *peerpb.Frame_Acquire:
		return acquireFromWire(b.Acquire, now)
	case *peerpb.Frame_Permit:
		return Permit{Permit: grantFromWire(b.Permit)}
	case *peerpb.Frame_Refusal:
		return Refusal{Refusal: refusalFromWire(b.Refusal)}
	case *peerpb.Frame_Releases:
		return releasesFromWire(b.Releases)
	case *peerpb.Frame_Adopt:
		return adoptFromWire(b.Adopt)
	}
	return nil
}

// acquireToWire sends the deadline as the remaining time, since the clocks of
// hosts differ.
func acquireToWire(m AcquireRequest, now time.Time) *peerpb.Acquire {
	r := m.Request
	return &peerpb.Acquire{
		Id:        r.ID,
		Host:      r.Host,
		Service:   r.Service,
		Workspace: r.Workspace,
		Chat:      r.Chat,
		Priority:  int32(r.Priority),
		Remaining: int64(r.Deadline.Sub(now)),
		Exclude:   r.Exclude,
		Fence:     m.FencingToken,

		Version: r.Version, RequiresVersion: r.RequiresVersion,
	}
}

func acquireFromWire(w *peerpb.Acquire, now time.Time) AcquireRequest {
	return AcquireRequest{
		Request: admission.Request{
			ID:        w.Id,
			Host:      w.Host,
			Service:   w.Service,
			Workspace: w.Workspace,
			Chat:      w.Chat,
			Priority:  int(w.Priority),
			Deadline:  now.Add(time.Duration(w.Remaining)),
			Exclude:   w.Exclude,

			Version: w.Version, RequiresVersion: w.RequiresVersion,
		},
		FencingToken: w.Fence,
	}
}

func permitToWire(p admission.Permit) *peerpb.Permit {
	return &peerpb.Permit{
		RequestId:   p.RequestID,
		Host:        p.Host,
		Service:     p.Service,
		Workspace:   p.Workspace,
		Chat:        p.Chat,
		Target:      p.Target,
		Incarnation: p.Incarnation,
		Address:     p.Address,
		Fence:       p.FencingToken,
		ValidFor:    int64(p.ValidFor),
		Warm:        p.Warm,
		Waited:      int64(p.Waited),
		Reason:      p.Reason,
		ChecksFence: p.ChecksFencingToken,
		Resumes:     p.SupportsResume,
		CacheFrom:   p.CacheSource,
		Version:     p.Version,
	}
}

func permitFromWire(w *peerpb.Permit) admission.Permit {
	return admission.Permit{
		RequestID:          w.RequestId,
		Host:               w.Host,
		Service:            w.Service,
		Workspace:          w.Workspace,
		Chat:               w.Chat,
		Target:             w.Target,
		Incarnation:        w.Incarnation,
		Address:            w.Address,
		FencingToken:       w.Fence,
		ValidFor:           time.Duration(w.ValidFor),
		Warm:               w.Warm,
		Waited:             time.Duration(w.Waited),
		Reason:             w.Reason,
		ChecksFencingToken: w.ChecksFence,
		SupportsResume:     w.Resumes,
		CacheSource:        w.CacheFrom,
		Version:            w.Version,
	}
}

func refusalToWire(r admission.Refusal) *peerpb.Refusal {
	return &peerpb.Refusal{
		RequestId:  r.RequestID,
		Code:       string(r.Code),
		Message:    r.Message,
		RetryAfter: int64(r.RetryAfter),
	}
}

func refusalFromWire(w *peerpb.Refusal) admission.Refusal {
	return admission.Refusal{
		RequestID:  w.RequestId,
		Code:       admission.RefusalCode(w.Code),
		Message:    w.Message,
		RetryAfter: time.Duration(w.RetryAfter),
	}
}

// grantToWire omits the fields that the requesting host already knows.
func grantToWire(p admission.Permit) *peerpb.Grant {
	return &peerpb.Grant{
		Target:      p.Target,
		Incarnation: p.Incarnation,
		Address:     p.Address,
		Fence:       p.FencingToken,
		ValidFor:    int64(p.ValidFor),
		Warm:        p.Warm,
		Waited:      int64(p.Waited),
		Reason:      p.Reason,
		ChecksFence: p.ChecksFencingToken,
		Resumes:     p.SupportsResume,
		CacheFrom:   p.CacheSource,
		Version:     p.Version,
	}
}

func grantFromWire(w *peerpb.Grant) admission.Permit {
	return admission.Permit{
		Target:             w.Target,
		Incarnation:        w.Incarnation,
		Address:            w.Address,
		FencingToken:       w.Fence,
		ValidFor:           time.Duration(w.ValidFor),
		Warm:               w.Warm,
		Waited:             time.Duration(w.Waited),
		Reason:             w.Reason,
		ChecksFencingToken: w.ChecksFence,
		SupportsResume:     w.Resumes,
		CacheSource:        w.CacheFrom,
		Version:            w.Version,
	}
}

// outcomeToWire maps outcomes to their enum values on the wire.
var outcomeToWire = map[admission.Outcome]peerpb.Outcome{
	admission.OutcomeDone:        peerpb.Outcome_OUTCOME_DONE,
	admission.OutcomeFailed:      peerpb.Outcome_OUTCOME_FAILED,
	admission.OutcomeCancelled:   peerpb.Outcome_OUTCOME_CANCELLED,
	admission.OutcomeUnsent:      peerpb.Outcome_OUTCOME_UNSENT,
	admission.OutcomeRefused:     peerpb.Outcome_OUTCOME_REFUSED,
	admission.OutcomeUnreachable: peerpb.Outcome_OUTCOME_UNREACHABLE,
}

// outcomeFromWire returns an empty outcome for an unknown value.
func outcomeFromWire(number peerpb.Outcome) admission.Outcome {
	for outcome, known := range outcomeToWire {
		if known == number {
			return outcome
		}
	}
	return ""
}

// releasesToWire omits the targets, which the owner knows.
func releasesToWire(m Releases) *peerpb.Releases {
	wire := &peerpb.Releases{Service: m.Service}
	for _, r := range m.Releases {
		wire.Releases = append(wire.Releases, &peerpb.Release{
			RequestId: r.RequestID,
			Outcome:   outcomeToWire[r.Outcome],
			FirstByte: int64(r.FirstByte),
		})
	}
	return wire
}

func releasesFromWire(w *peerpb.Releases) Releases {
	m := Releases{Service: w.Service}
	for _, r := range w.Releases {
		m.Releases = append(m.Releases, admission.Release{
			RequestID: r.RequestId,
			Service:   w.Service,
			Outcome:   outcomeFromWire(r.Outcome),
			FirstByte: time.Duration(r.FirstByte),
		})
	}
	return m
}

func adoptToWire(m AdoptPermits) *peerpb.Adopt {
	wire := &peerpb.Adopt{Host: m.Host, Session: m.Session, Service: m.Service, Fence: m.FencingToken}
	for _, permit := range m.Permits {
		wire.Permits = append(wire.Permits, permitToWire(permit))
	}
	return wire
}

func adoptFromWire(w *peerpb.Adopt) AdoptPermits {
	m := AdoptPermits{Host: w.Host, Session: w.Session, Service: w.Service, FencingToken: w.Fence}
	for _, permit := range w.Permits {
		m.Permits = append(m.Permits, permitFromWire(permit))
	}
	return m
}
