package web

import (
	"net/netip"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
)

// maxNameBytes is the maximum length of a target name.
const maxNameBytes = 256

func checkName(name string, stamp target.Stamp) error {
	if name == "" || len(name) > maxNameBytes {
		return errors.Wrapf(ErrInvalidMessage, "Name must have 1 to %d bytes", maxNameBytes)
	}
	if stamp.Incarnation == 0 {
		return errors.Wrap(ErrInvalidMessage, "Incarnation must be at least 1")
	}
	return nil
}

func checkAnnouncement(a target.Announcement) error {
	if err := checkName(a.Name, a.Stamp); err != nil {
		return err
	}
	if address, err := netip.ParseAddrPort(a.Address); err != nil || address.Port() == 0 {
		return errors.Wrapf(ErrInvalidMessage, "Address %q is not IP:port", a.Address)
	}
	if a.Kind != target.KindModel && a.Kind != target.KindPlain {
		return errors.Wrapf(ErrInvalidMessage, "Kind %q is neither Model nor Plain", a.Kind)
	}
	switch a.Role {
	case "", target.RoleMixed, target.RolePrefill, target.RoleDecode:
	default:
		return errors.Wrapf(ErrInvalidMessage, "Role %q is none of Mixed, Prefill, Decode", a.Role)
	}
	if a.Capacity < 0 || a.CacheCapacityChats < 0 {
		return errors.Wrap(ErrInvalidMessage, "Capacity and CachedChats must not be negative")
	}
	return nil
}

func checkLoadReport(r target.LoadReport) error {
	if err := checkName(r.Name, r.Stamp); err != nil {
		return err
	}
	if r.InFlight < 0 || r.Queued < 0 {
		return errors.Wrap(ErrInvalidMessage, "InFlight and Queued must not be negative")
	}
	if r.CacheUsed < 0 || r.CacheUsed > 1 {
		return errors.Wrap(ErrInvalidMessage, "CacheUsed must be from 0 to 1")
	}
	return nil
}

func checkCacheEvent(e target.CacheEvent) error {
	if err := checkName(e.Name, e.Stamp); err != nil {
		return err
	}
	switch e.Change {
	case target.CacheCleared:
		return nil
	case target.CacheStored, target.CacheEvicted:
		if len(e.Chats) == 0 {
			return errors.Wrapf(ErrInvalidMessage, "Change %s needs Chats", e.Change)
		}
		return nil
	}
	return errors.Wrapf(ErrInvalidMessage, "Change %q is none of Stored, Evicted, Cleared", e.Change)
}
