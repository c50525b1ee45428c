// Package route orders the targets of a service for one request.
//
// The order is: the places where the chat's context is believed warm, then the
// rest by rendezvous hashing of the chat's key, of which the least loaded of
// the first few is taken. A candidate that may not take the request is passed
// over with a reason.
//
// # Usage
//
//	choice := route.Choose(&route.Query{Chat: key, Known: [2]int{3, route.None}, Bound: 12, First: 2}, candidates)
//	if choice.Target == route.None {
//		// every candidate was refused
//	}
package route
