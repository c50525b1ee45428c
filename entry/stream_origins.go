package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/admission/origin"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/peer"
)

const (
	// maxOwnOrigins is the maximum number of this host's streams that it knows the version
	// of.
	maxOwnOrigins = 20_000
	// originReportTimeout limits the wait until a hub has confirmed a report,
	// originReportBackoff is the pause after none has.
	originReportTimeout = 400 * time.Millisecond
	originReportBackoff = 100 * time.Millisecond
	// originLookupWait is how long a hub waits for the record of a stream, which its host may
	// just be reporting; originLookupTimeout limits the whole request.
	originLookupWait    = 150 * time.Millisecond
	originLookupTimeout = 500 * time.Millisecond
)

// errUnknownOrigin reports a stream of which no process in reach knows the version.
var errUnknownOrigin = errors.New("no host or hub in reach knows which version began the stream")

// streamOrigins reports which versions began the streams of this host to the hubs, and asks
// them for those of other hosts. It implements gateway.StreamOrigins.
type streamOrigins struct {
	daemon  *Entry
	log     *logrus.Logger
	clock   clockwork.Clock
	table   *origin.Table
	lookups tally.Counter
	unknown tally.Counter

	mu         sync.Mutex
	unreported []origin.Record
	// recorded has an element while there may be records to report.
	recorded chan struct{}
}

func newStreamOrigins(e *Entry) *streamOrigins {
	return &streamOrigins{
		daemon: e, log: logs.ForComponent(e.Log, "Origin"), clock: e.Clock, table: origin.NewTable(maxOwnOrigins),
		lookups: e.Scope.Counter("stream_origin_lookups"), unknown: e.Scope.Counter("stream_origins_unknown"), recorded: make(chan struct{}, 1),
	}
}

// RecordOrigin implements gateway.StreamOrigins.
func (s *streamOrigins) RecordOrigin(service, id, version string, until time.Time) {
	unknown := s.table.Add(s.clock.Now(), origin.Record{Key: origin.KeyOf(service, id), Version: version, Until: until})
	s.queue(unknown)
}

// queue adds records to the next report.
func (s *streamOrigins) queue(records []origin.Record) {
	if len(records) == 0 {
		return
	}
	s.mu.Lock()
	s.unreported = append(s.unreported, records...)
	s.unreported = s.unreported[max(len(s.unreported)-maxOwnOrigins, 0):]
	s.mu.Unlock()
	select {
	case s.recorded <- struct{}{}:
	default:
	}
}

// reportAll reports all records again, to a hub whose process has started since.
func (s *streamOrigins) reportAll() { s.queue(s.table.All(s.clock.Now())) }

// run reports the records to the hubs until ctx ends. A report is sent at once, with all records
// since the one before it was sent: a host that stops takes those that it has not sent with it.
func (s *streamOrigins) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.recorded:
		}
		for !s.report(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-s.clock.After(originReportBackoff):
			}
		}
	}
}

// report sends the records to a hub, and to the next one if that does not confirm them. It
// reports whether no record is left.
func (s *streamOrigins) report(ctx context.Context) bool {
	s.mu.Lock()
	records := s.unreported
	s.unreported = nil
	s.mu.Unlock()
	now := s.clock.Now()
	pending := records[:0]
	for _, record := range records {
		if record.Until.After(now) {
			pending = append(pending, record)
		}
	}
	if len(pending) == 0 {
		return true
	}
	for _, hub := range s.hubs() {
		if s.send(ctx, hub, pending) == nil {
			return true
		}
	}
	s.queue(pending)
	return false
}

// hubs returns the hubs, the watched one first.
func (s *streamOrigins) hubs() []string {
	watched := s.daemon.watcher.watchedHub()
	var hubs []string
	if watched != "" {
		hubs = append(hubs, watched)
	}
	for _, hub := range s.daemon.watcher.candidates() {
		if hub != watched {
			hubs = append(hubs, hub)
		}
	}
	return hubs
}

func (s *streamOrigins) send(ctx context.Context, hub string, records []origin.Record) error {
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, originReportTimeout)
	defer cancel()
	_, err := s.daemon.node.Call(ctx, hub, peer.RosterUpdate{Host: s.daemon.Settings.Host, Origins: records})
	if err != nil {
		s.log.WithFields(logrus.Fields{"Hub": hub, "Records": len(records), "Error": err.Error()}).Debug("Hub did not confirm the versions of streams.")
	}
	return err
}

// FindOrigin implements gateway.StreamOrigins. It asks all hubs at once: the host that began
// the stream may have told any of them.
func (s *streamOrigins) FindOrigin(ctx context.Context, service, id string) (version string, err error) {
	key := origin.KeyOf(service, id)
	if version, found := s.table.Find(s.clock.Now(), key); found {
		return version, nil
	}
	s.lookups.Inc(1)
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, originLookupTimeout)
	defer cancel()
	hubs := s.daemon.watcher.candidates()
	replies := make(chan []origin.Record, len(hubs))
	for _, hub := range hubs {
		go func() {
			reply, err := s.daemon.node.Call(ctx, hub, peer.RosterUpdate{Host: s.daemon.Settings.Host, WantedOrigin: key, MaxWait: originLookupWait})
			if update, ok := reply.(peer.RosterUpdate); ok && err == nil {
				replies <- update.Origins
				return
			}
			replies <- nil
		}()
	}
	for range hubs {
		for _, record := range <-replies {
			if record.Key == key {
				return record.Version, nil
			}
		}
	}
	s.unknown.Inc(1)
	return "", errUnknownOrigin
}
