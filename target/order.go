package target

// OrderKind is the change that an order requests.
type OrderKind string

// The kinds of order.
const (
	// OrderLoadModel loads the model with its version and adapters and starts serving
	// the service.
	OrderLoadModel OrderKind = "LoadModel"
	// OrderChangeRole switches to another role.
	OrderChangeRole OrderKind = "ChangeRole"
	// OrderUnload stops serving and unloads the model.
	OrderUnload OrderKind = "Unload"
)

// Order instructs a target to change what it serves.
type Order struct {
	// ID identifies the order. Orders are idempotent: a target replies to a resent
	// order as to the first.
	ID string
	// FencingToken increases with each placement leader and each of its orders.
	FencingToken uint64
	Kind         OrderKind
	Service      string
	Model        string
	Version      string
	Adapters     []string
	Role         Role
}

// OrderState is the progress of an order.
type OrderState string

// The states of an order.
const (
	// OrderAccepted: the target is executing the order.
	OrderAccepted OrderState = "Accepted"
	// OrderDone: the target has completed the order.
	OrderDone OrderState = "Done"
	// OrderRefused: the target has seen a higher fencing token.
	OrderRefused OrderState = "Refused"
	// OrderFailed: the target could not complete the order.
	OrderFailed OrderState = "Failed"
)

// OrderReply is a target's reply to an order.
type OrderReply struct {
	ID    string
	State OrderState
	// FencingToken is the highest fencing token that the target has seen.
	FencingToken uint64
	Message      string
}
