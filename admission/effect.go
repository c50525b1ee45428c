package admission

import (
	"fmt"
	"strings"
	"time"
)

// Effect is one output of a Service: exactly one of Permit and Refusal is set.
type Effect struct {
	// Host is the entry host to send it to.
	Host     string
	Permit   *Permit
	Refusal  *Refusal
	Decision Decision
}

// SkippedTarget is a candidate that was passed over.
type SkippedTarget struct {
	Target string
	Reason string
}

// Decision tells how an effect came about, for the log.
type Decision struct {
	RequestID string
	Host      string
	Service   string
	Workspace string
	Chat      string
	// Target is the chosen target; empty for a refusal.
	Target string
	// Reason is the permit's reason or the refusal's code.
	Reason string
	Warm   bool
	// InFlight is the number in flight on the target, this request included.
	InFlight int
	// Bound is the largest number that the mean load allowed.
	Bound  int
	Waited time.Duration
	// Skipped lists the preferred candidates that were passed over.
	Skipped []SkippedTarget
}

// String returns the decision as one short line.
func (d *Decision) String() string {
	var line strings.Builder
	fmt.Fprintf(&line, "request %s of %s for chat %q: ", d.RequestID, d.Workspace, d.Chat)
	if d.Target == "" {
		fmt.Fprintf(&line, "refused, %s, waited %s", d.Reason, d.Waited)
	} else {
		fmt.Fprintf(&line, "%s, %s, in flight %d of %d, waited %s", d.Target, d.Reason, d.InFlight, d.Bound, d.Waited)
	}
	for _, refused := range d.Skipped {
		fmt.Fprintf(&line, "; not %s: %s", refused.Target, refused.Reason)
	}
	return line.String()
}
