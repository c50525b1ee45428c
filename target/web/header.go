// Package web is the adapter for targets that speak HTTP and JSON, with
// server-sent events for streams.
//
// Client sends calls and orders to targets. Receiver takes what targets send:
// announcements, load reports, cache events and their leave.
//
// # Usage
//
//	client := web.NewClient(clockwork.NewRealClock())
//	answer, err := client.Send(ctx, target.Call{RequestID: "r-1", Address: "127.0.0.1:9000",
//		Service: "Reviews", Name: "Draft", Body: body})
//
//	receiver := web.NewReceiver(sink, web.WithSharedKey("secret"))
//	server := fasthttp.Server{Handler: receiver.Handle}
package web

// The headers of the protocol between hosts and targets.
const (
	HeaderRequestID      = "Comfreytiller-Request"
	HeaderWorkspace      = "Comfreytiller-Workspace"
	HeaderChat           = "Comfreytiller-Chat"
	HeaderAttempt        = "Comfreytiller-Attempt"
	HeaderPriority       = "Comfreytiller-Priority"
	HeaderFence          = "Comfreytiller-Fence"
	HeaderOffset         = "Comfreytiller-Offset"
	HeaderWarm           = "Comfreytiller-Warm"
	HeaderSharedKey      = "Comfreytiller-Key"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// The paths that targets serve.
const (
	PathServices = "/v1/services/"
	PathCancel   = "/v1/cancel/"
	PathOrders   = "/v1/orders"
	PathCache    = "/v1/cache/"
)

// The paths that hosts serve to targets.
const (
	PathAnnounce    = "/v1/targets/announce"
	PathLoad        = "/v1/targets/load"
	PathCacheEvents = "/v1/targets/cache"
	PathLeave       = "/v1/targets/leave"
)

// EndEventName is the name of the event that ends a whole stream.
const EndEventName = "end"

// contentStream is the content type of event streams.
const contentStream = "text/event-stream"

// contentJSON is the content type of JSON bodies.
const contentJSON = "application/json"
