// Package admission decides, at the owner of a service, which request runs on
// which target and when.
//
// A Service holds all that the decisions need: the targets and their health,
// the exact number in flight on each, warm-up, the workspaces' queues and the
// memory of where chats are warm. It is pure: messages and the time go in,
// effects come out, and the same input gives the same output.
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
