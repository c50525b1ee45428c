package gateway

import (
	"github.com/sirupsen/logrus"
)

// logDone writes the line of a routing decision whose answer was whole.
func (g *Gateway) logDone(x *exchange, a *attempt, warm bool) {
	g.meters.firstByte.RecordDuration(a.first)
	if x.chat != "" {
		g.meters.reuse(warm)
	}
	g.decision(x, a).WithField("Warm", warm).
		Infof("Request %s of chat %q ran on %s.", x.id, x.chat, a.permit.Target)
}

// logAttempt writes the line of a routing decision whose attempt failed.
func (g *Gateway) logAttempt(x *exchange, a *attempt, err error) {
	g.decision(x, a).WithError(err).
		Warnf("Request %s of chat %q failed on %s.", x.id, x.chat, a.permit.Target)
}

func (g *Gateway) decision(x *exchange, a *attempt) *logrus.Entry {
	return g.log.WithFields(logrus.Fields{
		"Workspace": x.workspace, "Service": x.service.Name, "Call": x.call.Name,
		"Believed": a.permit.Warm, "Reason": a.permit.Reason, "Attempt": x.attempts,
		"FirstByte": a.first, "Waited": a.permit.Waited, "Time": g.Clock.Since(x.started),
	})
}
