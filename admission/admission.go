// Package admission decides, at the owner of a service, which request runs on
// which target and when.
//
// A Controller holds the whole state of these decisions: the targets and their
// health, the exact number in flight on each, the warm-up, the workspaces' queues
// and the locations of chats. It is deterministic and does no I/O: messages and the
// time go in, effects come out, and the same input gives the same output.
//
// # The load bound
//
// At every admission the number in flight on the target, this request included,
// is at most ceil(c × mean), where c is the LoadFactor of the fleet configuration
// and the mean is taken over all targets that admit requests, cold ones included,
// with this request counted. The least loaded target is always within the bound.
// When every target within it is full by its own limit (cold, warming up, small, or
// busy with requests from outside the fleet), the mean is taken over the targets
// below their own limits instead. That way a third of the targets restarting cold
// does not limit the others, and a service that is cold as a whole makes progress.
//
// Only the permits granted and not yet released count. A load report never raises
// a target's limit; load that it shows beyond the permits lowers it.
//
// # Warm-up
//
// A target is cold when a new incarnation starts, when it reports so, or after two
// consecutive slow first bytes. It gets ColdLimit requests at once, and more with
// each request that it completes in time.
//
// # The queue
//
// Workspaces share a service by start-time fair queueing weighted by Share. Within
// a workspace, the higher Priority and then the earlier arrival goes first. When a
// target gets room, it goes to a request whose chat is warm there, as long as the
// request's workspace is at most a few requests ahead of its share. A request at
// the head of the queue waits a short time for a full target where its chat is warm
// before it may run on another one.
//
// # Usage
//
//	c := admission.New(config, fence)
//	c.Import(now, exported)      // state of an earlier owner, if there is any
//	c.AdoptPermit(now, permit)   // each permit that is in flight
//	c.CompleteAdoption(now)      // enables grants
//	c.HandleAnnouncement(now, announcement)
//	c.Acquire(now, request)
//	for _, effect := range c.TakeEffects() {
//		// send effect.Permit or effect.Refusal to effect.Host
//	}
//	c.Release(now, release)
//	c.Tick(now)                  // several times a second
package admission
