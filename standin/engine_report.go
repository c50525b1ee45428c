package standin

import "comfreytiller.dev/target"

// announcement returns the engine's current announcement.
func (e *Engine) announcement() target.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return target.Announcement{
		Name: e.settings.Name, Stamp: target.Stamp{Incarnation: e.incarnation},
		Address: e.advertisedAddress, FailureDomain: e.settings.FailureDomain, Kind: target.KindModel,
		Service: e.settings.Service, Model: e.settings.Model, Version: e.settings.Version,
		Adapters: e.settings.Adapters, Role: e.settings.Role, Capacity: e.settings.MaxRunning, CacheCapacityChats: e.settings.CacheCapacityChats,
		Cold: e.cold, ChecksFencingToken: e.settings.ChecksFencingToken, SupportsResume: true, SupportsCacheTransfer: true,
	}
}

// loadReport returns the engine's current load.
func (e *Engine) loadReport() target.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	// After a crash, the cancelled requests leave the queue one by one.
	queued := min(e.slots.queued(), len(e.inFlight))
	return target.LoadReport{
		Name: e.settings.Name, Service: e.settings.Service, InFlight: len(e.inFlight) - queued, Queued: queued,
		CacheUsed: e.cache.usage(), Cold: e.cold,
	}
}

// DropCacheEvents simulates the loss of the engine's next n cache events.
func (e *Engine) DropCacheEvents(n int) { e.announcer.dropEvents(n) }
