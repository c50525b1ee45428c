package registry

import "time"

// OrderState is the state of an order to a target.
type OrderState string

// Order states.
const (
	// OrderPending: the order may have been sent; its outcome is unknown.
	OrderPending OrderState = "Pending"
	OrderDone    OrderState = "Done"
	OrderFailed  OrderState = "Failed"
)

// Order is the newest instruction to a target, such as to load a model.
type Order struct {
	ID          string
	Target      string
	Incarnation uint64
	Kind        string
	Service     string
	Model       string
	Version     string
	Adapters    []string
	Role        string
	// Fence is the fencing token of the order: the sequence number of the log
	// entry that recorded it.
	Fence uint64
	State OrderState
	// Time is when the order was recorded or finished, by the state's clock.
	Time time.Time
}

func (s *state) recordOrder(sequence uint64, command RecordOrder) Result {
	if !validIdentifier(command.ID) || !validIdentifier(command.Target) {
		return refuse(CodeMalformed, "an order needs an ID and a target")
	}
	last, exists := s.orders[command.Target]
	if exists && last.ID == command.ID {
		return Result{Code: CodeOK, Order: last}
	}
	if exists && last.State == OrderPending && last.Incarnation == command.Incarnation {
		return Result{Code: CodeRefused, Detail: "the target has a pending order", Order: last}
	}
	if !exists && len(s.orders) >= s.maxOrders && !s.evictFinishedOrder() {
		return refuse(CodeFull, "too many targets have pending orders")
	}
	order := Order{
		ID:          command.ID,
		Target:      command.Target,
		Incarnation: command.Incarnation,
		Kind:        command.Kind,
		Service:     command.Service,
		Model:       command.Model,
		Version:     command.Version,
		Adapters:    command.Adapters,
		Role:        command.Role,
		Fence:       sequence,
		State:       OrderPending,
		Time:        s.advanceClock(command.Time),
	}
	s.orders[order.Target] = order
	s.pendingOrders[order.Target] = true
	s.changed.orders = true
	return Result{Code: CodeOK, Order: order}
}

// evictFinishedOrder removes the oldest order that is not pending and reports
// whether there was one.
func (s *state) evictFinishedOrder() bool {
	var oldest Order
	for _, order := range s.orders {
		if order.State != OrderPending && (oldest.ID == "" || order.Fence < oldest.Fence) {
			oldest = order
		}
	}
	delete(s.orders, oldest.Target)
	return oldest.ID != ""
}

func (s *state) finishOrder(command FinishOrder) Result {
	if command.State != OrderDone && command.State != OrderFailed {
		return refuse(CodeMalformed, "an order ends as Done or Failed")
	}
	for target, order := range s.orders {
		if order.ID != command.ID {
			continue
		}
		if order.State == OrderPending {
			order.State = command.State
			order.Time = s.advanceClock(command.Time)
			s.orders[target] = order
			delete(s.pendingOrders, target)
			s.changed.orders = true
		}
		return Result{Code: CodeOK, Order: order}
	}
	return refuse(CodeUnknown, "there is no order "+command.ID)
}
