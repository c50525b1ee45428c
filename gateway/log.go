package gateway

import (
	"github.com/sirupsen/logrus"
)

// logDone writes the line of a routing decision whose answer was whole.
func (g *Gateway) logDone(d *dispatcher, a *attempt, warm bool) {
	g.meters.firstByte.RecordDuration(a.first)
	if d.chat != "" {
		g.meters.reuse(warm)
	}
	g.decision(d, a).WithField("Warm", warm).
		Infof("Request %s of chat %q ran on %s.", d.id, d.chat, a.permit.Target)
}

// logAttempt writes the line of a routing decision whose attempt failed.
func (g *Gateway) logAttempt(d *dispatcher, a *attempt, err error) {
	g.decision(d, a).WithError(err).
		Warnf("Request %s of chat %q failed on %s.", d.id, d.chat, a.permit.Target)
}

// logGivenUp writes the line of a request that got no answer.
func (g *Gateway) logGivenUp(d *dispatcher, f *Failure) {
	g.log.WithFields(logrus.Fields{
		"Workspace": d.workspace, "Service": d.service.Name, "Call": d.call.Name, "Code": f.Code,
		"Ran": f.Ran, "RetryAfter": f.RetryAfter, "Attempts": d.attempts, "Time": g.Clock.Since(d.started),
	}).Warnf("Request %s of chat %q is given up: %s", d.id, d.chat, f.Message)
}

func (g *Gateway) decision(d *dispatcher, a *attempt) *logrus.Entry {
	return g.log.WithFields(logrus.Fields{
		"Workspace": d.workspace, "Service": d.service.Name, "Call": d.call.Name,
		"Believed": a.permit.Warm, "Reason": a.permit.Reason, "Attempt": d.attempts,
		"FirstByte": a.first, "Waited": a.permit.Waited, "Time": g.Clock.Since(d.started),
	})
}
