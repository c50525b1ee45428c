package admission

import (
	"fmt"
	"strings"
	"time"
)

// Effect is one output of a Controller. Exactly one of Permit and Refusal is set.
type Effect struct {
	// Host is the entry host that receives the effect.
	Host     string
	Permit   *Permit
	Refusal  *Refusal
	Decision Decision
}

// SkippedTarget is a candidate that was not chosen, with the reason.
type SkippedTarget struct {
	Target string
	Reason string
}

// Decision explains an effect, for the log.
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
	// Bound is the load bound at the time of the decision.
	Bound  int
	Waited time.Duration
	// Skipped lists the preferred candidates that were not chosen.
	Skipped []SkippedTarget
}

// String formats the decision as one line.
func (d *Decision) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s of %s for chat %q: ", d.RequestID, d.Workspace, d.Chat)
	if d.Target == "" {
		fmt.Fprintf(&text, "refused, %s, waited %s", d.Reason, d.Waited)
	} else {
		fmt.Fprintf(&text, "%s, %s, in flight %d of %d, waited %s", d.Target, d.Reason, d.InFlight, d.Bound, d.Waited)
	}
	for _, skipped := range d.Skipped {
		fmt.Fprintf(&text, "; not %s: %s", skipped.Target, skipped.Reason)
	}
	return text.String()
}
