package hub

import (
	"context"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"comfreytiller.dev/admission/origin"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/ledger"
)

const (
	// originLogPrefix begins the names of the log's files. They are in the directory of the
	// state replica, since disks need not support the creation of directories.
	originLogPrefix = "streams-"
	// formerLogFolder is the directory of the log in earlier releases, within that of the
	// state replica.
	formerLogFolder = "streams"
	// originWriteInterval is how long records are collected before they are written. A loss
	// of power of all hubs takes the newest records with it.
	originWriteInterval = 20 * time.Millisecond
	// originPauseFactor is the pause after a write in multiples of its duration: writes take at
	// most a fifth of the disk's time, which the state replica needs.
	originPauseFactor = 4
	// originRetryInterval is the pause after a failed write.
	originRetryInterval = time.Second
	// originSegmentBytes is the size of a file, minRewriteBytes that from which the log may
	// be rewritten without what has expired.
	originSegmentBytes = 256 << 10
	minRewriteBytes    = 512 << 10
)

// originLog keeps the records of streams on disk, so that they survive a stop of all hubs.
// It works in the background: no record waits for the disk.
type originLog struct {
	dir     string
	options []ledger.Option
	clock   clockwork.Clock
	log     *logrus.Logger
	table   *origin.Table

	mu      sync.Mutex
	pending []origin.Record
	// added has an element while there may be pending records.
	added chan struct{}

	// The rest belongs to the goroutine of run.
	ledger    *ledger.Ledger
	lastIndex uint64
	// written is the number of bytes since the log was last rewritten, live that of the
	// rewritten records.
	written, live int
	// rewriteDue is set after a failure: records may be missing.
	rewriteDue bool
}

// newOriginLog returns a log that adds what it has stored to the table.
func newOriginLog(stateFolder string, table *origin.Table, clock clockwork.Clock, log *logrus.Logger, options ...ledger.Option) *originLog {
	l := &originLog{
		dir: stateFolder, options: append([]ledger.Option{ledger.WithNamePrefix(originLogPrefix), ledger.WithSegmentBytes(originSegmentBytes)}, options...),
		clock: clock, log: logs.ForComponent(log, "Origin"), table: table, added: make(chan struct{}, 1),
	}
	if err := l.open(); err != nil {
		l.fail("read", err)
	}
	return l
}

// add stores records soon.
func (l *originLog) add(records []origin.Record) {
	l.mu.Lock()
	l.pending = append(l.pending, records...)
	l.pending = l.pending[max(len(l.pending)-maxOrigins, 0):]
	l.mu.Unlock()
	l.wake()
}

// wake makes run write soon.
func (l *originLog) wake() {
	select {
	case l.added <- struct{}{}:
	default:
	}
}

// run writes the records until ctx ends, and what is left then.
func (l *originLog) run(ctx context.Context) {
	pause := originWriteInterval
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-l.added:
		}
		select {
		case <-ctx.Done():
		case <-l.clock.After(pause):
		}
		startedAt := l.clock.Now()
		err := l.write()
		pause = max(originWriteInterval, originPauseFactor*l.clock.Since(startedAt))
		if err != nil {
			l.fail("write", err)
			pause = max(pause, originRetryInterval)
			l.wake()
		}
	}
	if l.ledger != nil {
		if err := l.ledger.Close(); err != nil {
			l.log.WithError(err).Warn("Closing the log of streams failed.")
		}
	}
}

// write writes the pending records, or all of the table if the log has grown or records
// are missing.
func (l *originLog) write() error {
	l.mu.Lock()
	records := l.pending
	l.pending = nil
	l.mu.Unlock()
	rewrite := l.rewriteDue || l.written >= max(minRewriteBytes, 2*l.live)
	if l.ledger == nil {
		if err := l.open(); err != nil {
			return err
		}
		rewrite = true
	}
	if rewrite {
		records = l.table.All(l.clock.Now())
	}
	encoded := origin.Encode(l.clock.Now(), records)
	if len(encoded) == 0 {
		l.rewriteDue = false
		return nil
	}
	index := l.lastIndex + 1
	if err := l.ledger.Append(nil, []uint64{index}, [][]byte{encoded}); err != nil {
		return err
	}
	l.lastIndex = index
	l.written += len(encoded)
	if !rewrite {
		return nil
	}
	l.rewriteDue, l.written, l.live = false, 0, len(encoded)
	if index == 1 {
		return nil
	}
	return l.ledger.SaveSnapshot(index-1, nil)
}

// open opens the log and adds its records to the table. A damaged log is deleted: the other
// hubs have the same records, and a stream without one is refused.
func (l *originLog) open() error {
	found, err := ledger.Inspect(l.dir, l.options...)
	if err != nil {
		l.log.WithError(err).Warn("Folder of streams can't be listed.")
	} else {
		l.log.Infof("Folder of streams %s %v.", l.dir, found)
	}
	if err == nil && found.Segments == 0 {
		l.readFormer()
	}
	opened, err := ledger.Open(l.dir, l.options...)
	if errors.Is(err, ledger.ErrCorrupt) {
		l.log.WithError(err).Warn("Log of streams is damaged and will be deleted.")
		if err := ledger.Remove(l.dir, l.options...); err != nil {
			return errors.Wrap(err, "delete damaged log of streams")
		}
		opened, err = ledger.Open(l.dir, l.options...)
	}
	if err != nil {
		return err
	}
	lastIndex, err := l.read(opened)
	if err != nil {
		return errors.Join(err, opened.Close())
	}
	l.ledger, l.lastIndex = opened, lastIndex
	return nil
}

// read adds the records of a ledger to the table and returns its last index.
func (l *originLog) read(opened *ledger.Ledger) (lastIndex uint64, err error) {
	_, lastIndex, _, indexes, encoded, err := opened.Load()
	if err != nil {
		return 0, err
	}
	now, count := l.clock.Now(), 0
	for i, part := range encoded {
		records, err := origin.Decode(now, part)
		if err != nil {
			l.log.WithError(err).WithField("Index", indexes[i]).Warn("Record of streams can't be read.")
			continue
		}
		l.table.Add(now, records...)
		lastIndex, l.written, count = indexes[i], l.written+len(part), count+len(records)
	}
	if count > 0 {
		l.log.WithField("Streams", count).Info("Versions of streams were read from disk.")
	}
	return lastIndex, nil
}

// readFormer reads the log of an earlier release, which stays as it is, and has the next write
// store its records here. It is read at the first start only: the time that its records
// are valid would begin again at each.
func (l *originLog) readFormer() {
	folder := filepath.Join(l.dir, formerLogFolder)
	if found, err := ledger.Inspect(folder); err != nil || found.Segments == 0 {
		return
	}
	former, err := ledger.Open(folder)
	if err != nil {
		l.log.WithError(err).Warn("Log of streams of an earlier release can't be opened and is ignored.")
		return
	}
	if _, err := l.read(former); err != nil {
		l.log.WithError(err).Warn("Log of streams of an earlier release can't be read and is ignored.")
	}
	if err := former.Close(); err != nil {
		l.log.WithError(err).Debug("Closing the log of streams of an earlier release failed.")
	}
	l.rewriteDue = true
	l.wake()
}

// fail logs a failure, after which the log is opened and written anew.
func (l *originLog) fail(operation string, err error) {
	l.log.WithError(err).WithField("Operation", operation).Warn("Log of streams failed; versions are known for as long as a hub runs.")
	l.rewriteDue = true
	if l.ledger == nil || errors.Is(err, ledger.ErrDiskFull) {
		return
	}
	if err := l.ledger.Close(); err != nil {
		l.log.WithError(err).Debug("Closing the failed log of streams failed.")
	}
	l.ledger = nil
}
