package gateway

import (
	"strconv"
	"strings"

	"comfreytiller.dev/admission"
	"github.com/sirupsen/logrus"
)

// maxLoggedPromptParts is the maximum number of prompt parts in a log line.
const maxLoggedPromptParts = 16

// logCompleted logs a routing decision whose response was complete.
func (g *Gateway) logCompleted(d *dispatcher, a *attempt, warm bool) {
	g.metrics.firstByte.RecordDuration(a.firstByte)
	if d.Chat != "" {
		g.metrics.countChat(warm)
	}
	g.decisionEntry(d, a).WithField("Warm", warm).
		Infof("Request %s of chat %q ran on %s.", d.ID, d.Chat, a.permit.Target)
}

// logFailedAttempt logs a routing decision whose attempt failed, with the prompt parts
// that relate it to failures of other requests.
func (g *Gateway) logFailedAttempt(d *dispatcher, a *attempt, err error) {
	entry := g.decisionEntry(d, a).WithError(err).WithField("HostPause", d.hostPause())
	if parts := sharedPromptParts(d.Prompt); parts != "" {
		entry = entry.WithField("SharedParts", parts)
	}
	entry.Warnf("Request %s of chat %q failed on %s.", d.ID, d.Chat, a.permit.Target)
}

// sharedPromptParts returns the keys of the prompt parts that other requests may share,
// which are all but the last, in hexadecimal and separated by commas. It returns the
// first maxLoggedPromptParts of them, and "" if there are none.
func sharedPromptParts(prompt *admission.Prompt) string {
	if prompt == nil || len(prompt.Parts) < 2 {
		return ""
	}
	var text strings.Builder
	for i, part := range prompt.Parts[:min(len(prompt.Parts)-1, maxLoggedPromptParts)] {
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(strconv.FormatUint(part.Key, 16))
	}
	return text.String()
}

// logNotRetried logs why a request whose attempt failed is not sent again.
func (g *Gateway) logNotRetried(d *dispatcher, obstacle retryObstacle, err error) {
	g.metrics.countNotRetried(obstacle)
	g.retryEntry(d, obstacle, err).Warnf("Request %s is not sent again after its failure on %s.", d.ID, d.target)
}

// logNotResumed logs why a stream that failed after some events is not resumed.
func (g *Gateway) logNotResumed(d *dispatcher, events int, obstacle retryObstacle, err error) {
	g.metrics.countNotRetried(obstacle)
	g.retryEntry(d, obstacle, err).WithField("Events", events).
		Warnf("Stream of request %s is not resumed after its failure on %s.", d.ID, d.target)
}

func (g *Gateway) retryEntry(d *dispatcher, obstacle retryObstacle, err error) *logrus.Entry {
	return g.log.WithError(err).WithFields(logrus.Fields{
		"Request": d.CallerID, "Service": d.Service.Name, "Call": d.Call.Name, "Target": d.target, "Reason": obstacle,
		"Attempts": d.attempts, "Runs": d.possibleRuns, "Silence": d.silence(), "Time": g.Clock.Since(d.Started),
		"Version": d.version,
	})
}

// logAwaitedTarget logs why a request goes on to wait for a silent target.
func (g *Gateway) logAwaitedTarget(d *dispatcher, a *attempt, obstacle retryObstacle) {
	g.metrics.awaitedAttempts.Inc(1)
	g.log.WithFields(logrus.Fields{
		"Request": d.CallerID, "Service": d.Service.Name, "Call": d.Call.Name, "Target": a.permit.Target, "Reason": obstacle,
		"Attempts": d.attempts, "Runs": d.possibleRuns, "Silence": d.silence(), "Time": g.Clock.Since(d.Started),
	}).Infof("Request %s waits on for %s, which is silent.", d.ID, a.permit.Target)
}

// logRefusedRequest logs a request that was refused when it was parsed or because
// of a drain.
func (g *Gateway) logRefusedRequest(r *Request, f *Failure) {
	g.log.WithFields(logrus.Fields{
		"Request": r.CallerID, "Workspace": r.Workspace, "Code": f.Code, "Status": f.Status, "RetryAfter": f.RetryAfter,
	}).Infof("Request %s is refused: %s", r.ID, f.Message)
}

// logTakenUp logs the version at which a stream goes on that its caller takes up.
func (g *Gateway) logTakenUp(d *dispatcher) {
	g.log.WithFields(logrus.Fields{
		"Request": d.CallerID, "Began": d.ResumedID, "Service": d.Service.Name, "Version": d.version, "Time": g.Clock.Since(d.Started),
	}).Infof("Request %s goes on with the stream of request %s at version %q.", d.ID, d.ResumedID, d.version)
}

// logCutStream logs a stream that ended before it was complete.
func (g *Gateway) logCutStream(d *dispatcher, events int, f *Failure) {
	g.log.WithFields(logrus.Fields{
		"Request": d.CallerID, "Workspace": d.Workspace, "Service": d.Service.Name, "Call": d.Call.Name,
		"Code": f.Code, "Events": events, "Attempts": d.attempts, "Target": d.target, "HostPause": d.hostPause(), "Time": g.Clock.Since(d.Started),
	}).Warnf("Stream of request %s is cut: %s", d.ID, f.Message)
}

// logFailedRequest logs a request that received no response from a target.
func (g *Gateway) logFailedRequest(d *dispatcher, f *Failure) {
	g.log.WithFields(logrus.Fields{
		"Request": d.CallerID, "Workspace": d.Workspace, "Service": d.Service.Name, "Call": d.Call.Name, "Code": f.Code,
		"Ran": f.Ran, "RetryAfter": f.RetryAfter, "Attempts": d.attempts, "Target": d.target, "Objective": d.FirstByteObjective, "Time": g.Clock.Since(d.Started),
	}).Warnf("Request %s of chat %q is given up: %s", d.ID, d.Chat, f.Message)
}

// decisionEntry returns a log entry with the inputs of a routing decision and, for a stream, how
// it has come to its end.
func (g *Gateway) decisionEntry(d *dispatcher, a *attempt) *logrus.Entry {
	fields := logrus.Fields{
		"Request": d.CallerID, "Target": a.permit.Target, "Workspace": d.Workspace, "Service": d.Service.Name, "Call": d.Call.Name,
		"Believed": a.permit.Warm, "Reason": a.permit.Reason, "Attempt": a.number,
		"FirstByte": a.firstByte, "Waited": a.permit.Waited, "Time": g.Clock.Since(d.Started),
		"ContentKey": strconv.FormatUint(d.key, 16), "Version": a.permit.Version,
	}
	if in := a.permit.Inputs; in != nil {
		fields["FleetVersion"], fields["Candidates"], fields["Running"], fields["Queued"] = in.FleetVersion, in.Candidates, in.InFlight, in.Queued
		fields["CacheFrom"], fields["LoadAge"], fields["Own"], fields["Kept"], fields["Cold"], fields["HeardAge"] = a.permit.CacheSource, in.LoadReportAge, in.OwnInFlight, in.CachedTokens, in.Cold, in.LastSeenAge
		fields["Slowdown"], fields["ToldSlowdown"], fields["MeasuredSlowdown"], fields["HeldTokens"] = in.Slowdown, in.ToldSlowdown, in.MeasuredSlowdown, in.HeldTokens
	}
	if a.response != nil && a.response.Header().Stream {
		end := a.response.End()
		fields["Framing"], fields["End"], fields["AttemptEvents"] = end.Framing, end.Cause, a.events
		fields["Events"], fields["LastEvent"] = d.relayedEvents, d.lastEventID
		fields["Silence"], fields["HostPause"] = d.silence(), d.hostPause()
	}
	return g.log.WithFields(fields)
}
