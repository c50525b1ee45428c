// Package admission decides, at the owner of a service, which request runs on
// which target and when.
//
// A Service holds all that the decisions need: the targets and their health,
// the exact number in flight on each, warm-up, the workspaces' queues and the
// memory of where chats are warm. It is pure: messages and the time go in,
// effects come out, and the same input gives the same output.
//
// # The load bound
//
// At every admission the number in flight on the target, this request included,
// is at most ceil(c × mean), c being the fleet text's LoadFactor and the mean
// taken over all targets that admit work, cold ones included, with this request
// counted. The least loaded target is always within it. When every target within
// it is full by its own limit (cold, warming up, small, busy with work from
// outside), the mean is taken over the targets below their own limits instead, so
// that a third of the targets coming back cold does not hold the others back, and
// a service that is cold as a whole makes progress.
//
// Only the permits granted and not yet released count. A load report never raises
// what a target may have; work that it shows beyond the permits lowers it.
//
// # Warm-up
//
// A new incarnation is cold. So is a target that reports it, or whose first bytes
// come late twice in a row. It gets ColdLimit requests at once, and more with each
// request that it completes in time.
//
// # The queue
//
// Between workspaces start-time fair queueing weighted by Share, within one the
// higher Priority and then the earlier arrival. A freed place goes to a request
// whose chat is warm there, as long as its workspace is at most a few requests
// ahead of its share; a request whose turn has come waits a short time for the full
// target where its chat is warm before it goes elsewhere.
//
// # Usage
//
//	s := admission.New(config, fence)
//	s.Import(now, copied)       // what an earlier owner left, if anything
//	s.Adopt(now, permit)        // each permit that is in flight
//	s.Adopted(now)              // from here on grants are made
//	s.Announce(now, announcement)
//	s.Acquire(now, request)
//	for _, effect := range s.Effects() {
//		// send effect.Permit or effect.Refusal to effect.Host
//	}
//	s.Release(now, release)
//	s.Tick(now)                 // some times a second
package admission
