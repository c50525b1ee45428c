package web

import (
	"net/netip"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
)

// maxName bounds the names that targets send, in bytes.
const maxName = 256

func checkName(name string, stamp target.Stamp) error {
	if name == "" || len(name) > maxName {
		return errors.Wrapf(ErrBody, "Name must have 1 to %d bytes", maxName)
	}
	if stamp.Incarnation == 0 {
		return errors.Wrap(ErrBody, "Incarnation must be at least 1")
	}
	return nil
}

func checkAnnouncement(a target.Announcement) error {
	if err := checkName(a.Name, a.Stamp); err != nil {
		return err
	}
	if address, err := netip.ParseAddrPort(a.Address); err != nil || address.Port() == 0 {
		return errors.Wrapf(ErrBody, "Address %q is not IP:port", a.Address)
	}
	if a.Kind != target.KindModel && a.Kind != target.KindPlain {
		return errors.Wrapf(ErrBody, "Kind %q is neither Model nor Plain", a.Kind)
	}
	switch a.Role {
	case "", target.RoleMixed, target.RolePrefill, target.RoleDecode:
	default:
		return errors.Wrapf(ErrBody, "Role %q is none of Mixed, Prefill, Decode", a.Role)
	}
	if a.Capacity < 0 || a.CacheCapacityChats < 0 {
		return errors.Wrap(ErrBody, "Capacity and CachedChats must not be negative")
	}
	return nil
}

func checkLoad(r target.LoadReport) error {
	if err := checkName(r.Name, r.Stamp); err != nil {
		return err
	}
	if r.InFlight < 0 || r.Queued < 0 {
		return errors.Wrap(ErrBody, "InFlight and Queued must not be negative")
	}
	if r.CacheUsed < 0 || r.CacheUsed > 1 {
		return errors.Wrap(ErrBody, "CacheUsed must be from 0 to 1")
	}
	return nil
}

func checkEvent(e target.CacheEvent) error {
	if err := checkName(e.Name, e.Stamp); err != nil {
		return err
	}
	switch e.Change {
	case target.CacheCleared:
		return nil
	case target.CacheStored, target.CacheEvicted:
		if len(e.Chats) == 0 {
			return errors.Wrapf(ErrBody, "Change %s needs Chats", e.Change)
		}
		return nil
	}
	return errors.Wrapf(ErrBody, "Change %q is none of Stored, Evicted, Cleared", e.Change)
}
