package target

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of order.
const (
	// OrderLoadModel: load the model, version and adapters and serve the service.
	OrderLoadModel OrderKind = "LoadModel"
	// OrderChangeRole: play another role.
	OrderChangeRole OrderKind = "ChangeRole"
	// OrderUnload: serve nothing.
	OrderUnload OrderKind = "Unload"
)

// Order tells a target to change what it serves.
type Order struct {
	// ID names the order; a target that has taken it answers a resend alike.
	ID string
	// FencingToken grows with each placement leader and each of its orders.
	FencingToken uint64
	Kind         OrderKind
	Service      string
	Model        string
	Version      string
	Adapters     []string
	Role         Role
}

// OrderState is how far an order has got.
type OrderState string

// The states of an order.
const (
	// OrderAccepted: the target is at it.
	OrderAccepted OrderState = "Accepted"
	// OrderDone: the target has carried it out.
	OrderDone OrderState = "Done"
	// OrderRefused: the fencing number is older than one the target has seen.
	OrderRefused OrderState = "Refused"
	// OrderFailed: the target could not carry it out.
	OrderFailed OrderState = "Failed"
)

// OrderReply is a target's reply to an order.
type OrderReply struct {
	ID    string
	State OrderState
	// FencingToken is the highest fencing number the target has seen.
	FencingToken uint64
	Message      string
}
