package host

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"comfreytiller.dev/comfreytiller/host/hostpb"
	"comfreytiller.dev/placement"
)

func encodePlacement(s placement.Status) ([]byte, error) {
	wire := &hostpb.PlacementStatus{}
	for _, service := range s.Services {
		wire.Services = append(wire.Services, &hostpb.PlacedService{
			Name:        service.Name,
			Min:         int64(service.Min),
			Max:         int64(service.Max),
			Serving:     int64(service.Serving),
			Changing:    int64(service.Changing),
			Stale:       int64(service.Stale),
			RollStopped: service.RollStopped,
		})
	}
	for _, t := range s.Targets {
		if t.Pin == "" && t.WaitReason == "" {
			continue
		}
		wire.Targets = append(wire.Targets, &hostpb.PlacedTarget{Name: t.Name, Pin: t.Pin, Waits: t.WaitReason})
	}
	for _, order := range s.Orders {
		wire.Orders = append(wire.Orders, &hostpb.PlacedOrder{
			Id:      order.ID,
			Target:  order.Target,
			Kind:    string(order.Kind),
			Service: order.Service,
			State:   string(order.State),
			Reason:  string(order.Reason),
		})
	}
	for _, alarm := range s.Alarms {
		wire.Alarms = append(wire.Alarms, string(alarm.Kind)+": "+alarm.Message)
	}
	data, err := proto.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(err, "encode the placement's status")
	}
	return data, nil
}

func decodePlacement(data []byte) (*hostpb.PlacementStatus, error) {
	wire := &hostpb.PlacementStatus{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return nil, errors.Wrapf(err, "decode the placement's status of %d bytes", len(data))
	}
	return wire, nil
}
