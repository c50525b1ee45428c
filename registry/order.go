package registry

import "time"

// OrderState is the state of an order to a target.
type OrderState string

// The states of an order.
const (
	// OrderPending: the order may have been sent; its end is not known.
	OrderPending OrderState = "Pending"
	OrderDone    OrderState = "Done"
	OrderFailed  OrderState = "Failed"
)

// Order is the newest order to a target.
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
	// Fence is the number of the log entry at which the order was recorded.
	Fence uint64
	State OrderState
	// Time is when the order was recorded or ended, by the state's clock.
	Time time.Time
}

func (s *state) recordOrder(number uint64, command RecordOrder) Result {
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
	if !exists && len(s.orders) >= s.orderLimit && !s.dropEndedOrder() {
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
		Fence:       number,
		State:       OrderPending,
		Time:        s.tick(command.Time),
	}
	s.orders[order.Target] = order
	s.pending[order.Target] = true
	s.changed.orders = true
	return Result{Code: CodeOK, Order: order}
}

// dropEndedOrder removes the oldest order that has ended.
func (s *state) dropEndedOrder() bool {
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
			order.Time = s.tick(command.Time)
			s.orders[target] = order
			delete(s.pending, target)
			s.changed.orders = true
		}
		return Result{Code: CodeOK, Order: order}
	}
	return refuse(CodeUnknown, "there is no order "+command.ID)
}
