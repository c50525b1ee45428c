package host

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/placement"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/target"
)

// targetAddress returns the address of a target for orders, or "" if the
// incarnation is not known.
func (p *placementController) targetAddress(name string, incarnation uint64) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, received := range p.digests {
		for _, t := range received.digest.Targets {
			if t.Announcement.Name == name && t.Announcement.Incarnation == incarnation {
				return t.Announcement.Address
			}
		}
	}
	return ""
}

func (p *placementController) execute(ctx context.Context, effect placement.Effect) {
	switch e := effect.(type) {
	case placement.RecordOrder:
		go p.recordOrder(ctx, e.Order)
	case placement.SendOrder:
		go p.sendOrder(ctx, e)
	case placement.CloseOrder:
		go p.closeOrder(ctx, e)
	case placement.Log:
		p.log.Info(strings.TrimPrefix(e.Line, "placement: "))
	case placement.Alarm:
		p.log.Warnf("Alarm %s: %s.", e.Kind, e.Message)
		p.host.Scope.SubScope("placement").Tagged(map[string]string{"alarm": string(e.Kind)}).Counter("alarms").Inc(1)
	}
}

func (p *placementController) recordOrder(ctx context.Context, order placement.Order) {
	result, err := p.host.session.Propose(ctx, recordOrderCommand(order, p.clock.Now()))
	if err == nil {
		err = result.Err()
	}
	if err != nil {
		p.log.Warnf("Cannot record order %s to target %s: %v.", order.ID, order.Target, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orderFences[order.ID] = result.Order.Fence
	if err != nil {
		p.orderFences[order.ID] = 0
	}
}

// sendOrder sends an order unless it has expired or the leadership was lost.
func (p *placementController) sendOrder(ctx context.Context, e placement.SendOrder) {
	address := p.targetAddress(e.Order.Target, e.Order.Incarnation)
	if address == "" {
		return
	}
	ctx, cancel := clockwork.WithDeadline(ctx, p.clock, p.clock.Now().Add(ownerTimeout))
	defer cancel()
	if _, isLeader := p.leadingTerm(); !isLeader || !p.clock.Now().Before(e.Until) {
		return
	}
	reply, err := p.host.sender.SendOrder(ctx, address, target.Order{
		ID:           e.Order.ID,
		FencingToken: e.Order.Fence,
		Kind:         target.OrderKind(e.Order.Kind),
		Service:      e.Order.Service,
		Model:        e.Order.Model,
		Version:      e.Order.Version,
		Adapters:     e.Order.Adapters,
		Role:         e.Order.Role,
	})
	if err != nil {
		p.log.Warnf("Order %s to target %s has no reply yet: %v.", e.Order.ID, e.Order.Target, err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orderReplies = append(p.orderReplies, placement.OrderReply{
		ID:          e.Order.ID,
		Target:      e.Order.Target,
		Incarnation: e.Order.Incarnation,
		Result:      orderResult(reply.State),
		Reason:      reply.Message,
	})
}

func orderResult(state target.OrderState) placement.OrderResult {
	switch state {
	case target.OrderAccepted:
		return placement.Accepted
	case target.OrderDone:
		return placement.Done
	case target.OrderRefused:
		return placement.Refused
	}
	return placement.Failed
}

func (p *placementController) closeOrder(ctx context.Context, e placement.CloseOrder) {
	state := registry.OrderDone
	if e.Outcome.Failed() {
		state = registry.OrderFailed
	}
	result, err := p.host.session.Propose(ctx, registry.FinishOrder{ID: e.ID, State: state, Time: p.clock.Now()})
	if err == nil {
		err = result.Err()
	}
	if err != nil && !errors.Is(err, registry.ErrUnknown) {
		p.log.Warnf("Cannot close order %s: %v.", e.ID, err)
	}
}

func recordOrderCommand(order placement.Order, now time.Time) registry.RecordOrder {
	return registry.RecordOrder{
		ID:          order.ID,
		Target:      order.Target,
		Incarnation: order.Incarnation,
		Kind:        string(order.Kind),
		Service:     order.Service,
		Model:       order.Model,
		Version:     order.Version,
		Adapters:    order.Adapters,
		Role:        string(order.Role),
		Time:        now,
	}
}

func plannerOrder(order registry.Order) placement.Order {
	return placement.Order{
		ID:          order.ID,
		Fence:       order.Fence,
		Target:      order.Target,
		Incarnation: order.Incarnation,
		Kind:        placement.OrderKind(order.Kind),
		Service:     order.Service,
		Model:       order.Model,
		Version:     order.Version,
		Adapters:    order.Adapters,
		Role:        target.Role(order.Role),
		RecordedAt:  order.Time,
	}
}
