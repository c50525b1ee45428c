package hub

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/ledger"
)

const (
	// diskFullTime is how long each disk is full, which is longer than voterLostAfter.
	diskFullTime = 4 * time.Second
	// acknowledgeTime is how long a change may take once no disk is full.
	acknowledgeTime = 4 * time.Second
)

// fullDisk is a faultyDisk that also refuses to create files, and to truncate and sync open
// ones.
type fullDisk struct{ faultyDisk }

func (d fullDisk) Create(name string) (ledger.File, error) {
	if err := d.refuses.Load(); err != nil {
		return nil, *err
	}
	return d.faultyDisk.Create(name)
}

func (d fullDisk) Open(name string) (ledger.File, error) {
	file, err := d.FileSystem.Open(name)
	return fullFile{faultyFile{File: file, refuses: d.refuses}}, err
}

type fullFile struct{ faultyFile }

func (f fullFile) Truncate(size int64) error {
	if err := f.refuses.Load(); err != nil {
		return *err
	}
	return f.File.Truncate(size)
}

func (f fullFile) Sync() error {
	if err := f.refuses.Load(); err != nil {
		return *err
	}
	return f.File.Sync()
}

// put sends a configuration to the hub and reports whether it was acknowledged.
func (c *cluster) put(i int, version uint64) bool {
	ctx, cancel := context.WithTimeout(c.t.Context(), operatorCallTimeout)
	defer cancel()
	config := fmt.Sprintf(`{"Name": "f%d"`, version) + fleetConfig[len(`{"Name": "f"`):]
	return (&controlHandler{hub: c.hubs[i]}).PutFleet(ctx, version, []byte(config)) == nil
}

// Guards against hubs that refuse all changes to the end of the day: their disks were full
// one after another, never two at once. A new hub stands by to replace silent voters.
func TestFullDisks_ChangesAcknowledgedOnceAllHaveRoom(t *testing.T) {
	for _, spare := range []bool{false, true} {
		t.Run(fmt.Sprintf("spare hub: %t", spare), func(t *testing.T) {
			c := newCluster(t, 5)
			c.awaitAllVoters()
			if spare {
				c.start(c.add(), false)
			}
			full := error(syscall.ENOSPC)
			version := uint64(0)
			for i := range c.hubs {
				c.disks[i].refuses.Store(&full)
				acknowledged := 0
				for startedAt := time.Now(); time.Since(startedAt) < diskFullTime; {
					version++
					if c.put(int(version)%len(c.hubs), version) {
						acknowledged++
					}
				}
				c.disks[i].refuses.Store(nil)
				require.Positive(t, acknowledged, "changes are acknowledged while the disk of one hub is full")
			}
			for i := range c.hubs {
				version++
				require.Eventually(t, func() bool { return c.put(i, version) }, acknowledgeTime, eventuallyTick, "hub %d acknowledges a configuration", i)
				handler := &controlHandler{hub: c.hubs[i]}
				require.Eventually(t, func() bool {
					return handler.SetOutage(t.Context(), waitingCaller{}, "a", i%2 == 0) == nil
				}, acknowledgeTime, eventuallyTick, "hub %d acknowledges an outage", i)
			}
			for i, h := range c.hubs {
				require.Eventually(t, func() bool {
					read, _, err := (&controlHandler{hub: h}).Fleet(t.Context())
					return err == nil && read == version && h.replica.Quorum.Status().StorageError == nil
				}, acknowledgeTime, eventuallyTick, "hub %d returns the latest configuration", i)
			}
		})
	}
}
