package entry

import (
	"time"

	"comfreytiller.dev/common/rendezvous"
)

const (
	// homePause is the least time on another hub before a host asks its first one
	// again; up to as much is added, so that hosts come back one by one.
	homePause = 3 * time.Second
	// mostHomePause bounds the pause, which doubles with each failure: a question
	// to a hub that is lost keeps the host from its news for watchSlack.
	mostHomePause = 30 * time.Second
)

// homing decides when a host that had to leave the first hub in its order asks
// there again.
//
// It answers losses of touch in turn: without it hosts stay where they fled to,
// and in the end a few hubs have to send each change to all of them.
type homing struct {
	// share is this host's own, 0 to 1: it spreads the returns.
	share float64
	pause time.Duration
	next  time.Time
}

func newHoming(host string) homing {
	const shares = 1 << 16
	return homing{share: float64(rendezvous.Score(host, "")%shares) / shares}
}

// away starts the pause when the host leaves its first hub.
func (h *homing) away(now time.Time) {
	h.pause = homePause
	h.wait(now)
}

// due reports whether to ask the first hub now.
func (h *homing) due(now time.Time) bool {
	return !h.next.IsZero() && !now.Before(h.next)
}

// failed records that the first hub can't serve yet.
func (h *homing) failed(now time.Time) {
	h.pause = min(2*h.pause, mostHomePause)
	h.wait(now)
}

// home records that the host is back.
func (h *homing) home() { h.next = time.Time{} }

func (h *homing) wait(now time.Time) {
	h.next = now.Add(h.pause + time.Duration(h.share*float64(h.pause)))
}
