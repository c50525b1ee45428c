package host

import (
	"context"
	"math"

	"github.com/sirupsen/logrus"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/target"
)

// recordResponse records what a target says of itself in a response. Permits for a
// target that is leaving or that asked this host for a pause are not requested. The
// owner learns that a target is leaving, since it decides alone; a pause concerns only
// this host.
func (h *Host) recordResponse(permit admission.Permit, header target.ResponseHeader) {
	news := h.permitClient.notices.Record(h.Clock.Now(), permit.Target, permit.Incarnation, header)
	log := h.log.WithFields(logrus.Fields{
		"Target": permit.Target, "Incarnation": permit.Incarnation, "Service": permit.Service, "Request": permit.RequestID, "Status": header.Status,
	})
	if header.RetryAfterProblem != "" {
		log.Warnf("Target %s sent an unusual Retry-After: %s.", permit.Target, header.RetryAfterProblem)
	}
	if !news.PausedUntil.IsZero() {
		h.pauseNotices.Inc(1)
		log.WithField("Pause", header.RetryAfter).Infof("Target %s asks for a pause.", permit.Target)
	}
	if news.Leaving {
		h.leavingNotices.Inc(1)
		log.Infof("Target %s says in a response that it is leaving.", permit.Target)
		go h.relayLeaving(permit)
	}
}

// relayLeaving tells the owner of a service that a target is leaving. The stamp is the
// last one of the target's incarnation, so that only its next start is admitted again.
func (h *Host) relayLeaving(permit admission.Permit) {
	leave := target.Leave{
		Name: permit.Target, Service: permit.Service,
		Stamp: target.Stamp{Incarnation: permit.Incarnation, Sequence: math.MaxUint64},
	}
	if err := h.targetRelay.HandleLeave(context.Background(), leave); err != nil {
		h.log.Warnf("Owner of %s could not be told that target %s is leaving: %v.", permit.Service, permit.Target, err)
	}
}
