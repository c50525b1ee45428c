package entry

import (
	"slices"
	"time"
)

const (
	// maxConfirmedAge is the age of the last confirmation from which a host asks other hubs
	// whether its view is current. A hub confirms its own view every contactInterval, and
	// keeps a poll for up to longPollMaxWait.
	maxConfirmedAge = 900 * time.Millisecond
	// checkSpacing is the time after which the next hub is asked if none has confirmed the
	// view. With two hubs lost, the third one replies before the view counts as unconfirmed.
	checkSpacing = 150 * time.Millisecond
	// maxCheckSpacing replaces checkSpacing in the end for a host that reaches no hub.
	maxCheckSpacing = time.Second
	// confirmationTTL is how long a hub that has confirmed the view in place of the watched
	// one counts as current: other hubs are asked again after maxConfirmedAge.
	confirmationTTL = maxConfirmedAge + 2*checkSpacing
)

// viewCheck decides which hubs a host asks whether its view is current while the hub that
// it watches does not confirm it.
//
// Load: a hub is cut off from the majority, or overloaded by the hosts of lost hubs, and
// still replies to its hosts. They would act on the configuration of before until it notices.
type viewCheck struct {
	next    int
	nextAt  time.Time
	spacing time.Duration
	// pending are the hubs that have been asked and have not replied.
	pending []string
	// confirmedBy is the hub that last confirmed the view when asked, at confirmedAt.
	confirmedBy string
	confirmedAt time.Time
}

// hubToAsk returns the next hub to ask; "" for none. age is the time since the last
// confirmation, watched the hub that the host watches.
func (c *viewCheck) hubToAsk(now time.Time, age time.Duration, hubs []string, watched string) string {
	if age < maxConfirmedAge {
		c.nextAt, c.spacing = time.Time{}, checkSpacing
		return ""
	}
	if now.Before(c.nextAt) {
		return ""
	}
	for range hubs {
		hub := hubs[c.next%len(hubs)]
		c.next++
		if hub == watched || slices.Contains(c.pending, hub) {
			continue
		}
		c.nextAt = now.Add(c.spacing)
		if age > 2*maxUnconfirmedAge {
			c.spacing = min(2*c.spacing, maxCheckSpacing)
		}
		c.pending = append(c.pending, hub)
		return hub
	}
	return ""
}

// recordReply records that a hub has replied, or did not in time.
func (c *viewCheck) recordReply(hub string) {
	c.pending = slices.DeleteFunc(c.pending, func(pending string) bool { return pending == hub })
}

// recordConfirmation records that a hub that was asked has confirmed the view. age is how old
// its own confirmation was.
func (c *viewCheck) recordConfirmation(now time.Time, hub string, age time.Duration) {
	if age < maxConfirmedAge {
		c.confirmedBy, c.confirmedAt = hub, now
	}
}

// currentHub returns the hub that has just confirmed the view in place of the watched one; ""
// for none.
func (c *viewCheck) currentHub(now time.Time) string {
	if now.Sub(c.confirmedAt) > confirmationTTL {
		return ""
	}
	return c.confirmedBy
}
