package standin

import "comfreytiller.dev/target"

// announcement returns what the engine announces now.
func (e *Engine) announcement() target.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return target.Announcement{
		Name: e.settings.Name, Stamp: target.Stamp{Incarnation: e.incarnation},
		Address: e.announced, FailureDomain: e.settings.FailureDomain, Kind: target.KindModel,
		Service: e.settings.Service, Model: e.settings.Model, Version: e.settings.Version,
		Adapters: e.settings.Adapters, Role: e.settings.Role, Capacity: e.settings.MaxRunning, CachedChats: e.settings.CacheCapacityChats,
		Cold: e.cold, ChecksFence: e.settings.ChecksFencingToken, Resumes: true, MovesCache: true,
	}
}

// loadReport returns the engine's load now.
func (e *Engine) loadReport() target.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	queued := e.slots.queued()
	return target.LoadReport{
		Name: e.settings.Name, Service: e.settings.Service, InFlight: len(e.running) - queued, Queued: queued,
		CacheUsed: e.cache.used(), Cold: e.cold,
	}
}

// DropCacheEvents drops the engine's next n cache events on the way.
func (e *Engine) DropCacheEvents(n int) { e.announcer.loseEvents(n) }
