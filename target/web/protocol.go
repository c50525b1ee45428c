// Package web is the adapter for targets that speak HTTP and JSON, with
// server-sent events for streams.
//
// Client sends calls and orders to targets. Receiver accepts the messages of
// targets: announcements, load reports, cache events and leave messages.
//
// # Usage
//
//	client := web.NewClient(clockwork.NewRealClock())
//	response, err := client.Send(ctx, target.Call{RequestID: "r-1", Address: "127.0.0.1:9000",
//		Service: "Reviews", Name: "Draft", Body: body})
//
//	receiver := web.NewReceiver(sink, web.WithSharedKey("secret"))
//	server := fasthttp.Server{Handler: receiver.Handle}
package web

// HTTP headers of the protocol between hosts and targets.
const (
	HeaderRequestID      = "Comfreytiller-Request"
	HeaderWorkspace      = "Comfreytiller-Workspace"
	HeaderChat           = "Comfreytiller-Chat"
	HeaderAttempt        = "Comfreytiller-Attempt"
	HeaderPriority       = "Comfreytiller-Priority"
	HeaderFence          = "Comfreytiller-Fence"
	HeaderOffset         = "Comfreytiller-Offset"
	HeaderWarm           = "Comfreytiller-Warm"
	HeaderNotExecuted    = "Comfreytiller-Not-Executed"
	HeaderLeaving        = "Comfreytiller-Leaving"
	HeaderSharedKey      = "Comfreytiller-Key"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Paths served by targets.
const (
	PathServices = "/v1/services/"
	PathCancel   = "/v1/cancel/"
	PathOrders   = "/v1/orders"
	PathCache    = "/v1/cache/"
)

// Paths served by hosts to targets.
const (
	PathAnnounce    = "/v1/targets/announce"
	PathLoad        = "/v1/targets/load"
	PathCacheEvents = "/v1/targets/cache"
	PathLeave       = "/v1/targets/leave"
)

// EndEventName is the name of the event that terminates a complete stream.
const EndEventName = "end"

// contentTypeEventStream is the content type of event streams.
const contentTypeEventStream = "text/event-stream"

// contentTypeJSON is the content type of JSON bodies.
const contentTypeJSON = "application/json"
