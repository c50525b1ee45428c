package registry

import (
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/registry/registrypb"
)

// EncodeResult encodes a result as returned by Machine.Apply.
func EncodeResult(result Result) []byte {
	return encode(resultToWire(result))
}

// DecodeResult is the inverse of EncodeResult. Errors wrap ErrMalformed.
func DecodeResult(encoded []byte) (Result, error) {
	var wire registrypb.Result
	if err := decode(encoded, &wire); err != nil {
		return Result{}, err
	}
	return resultFromWire(&wire), nil
}

func resultToWire(result Result) *registrypb.Result {
	wire := &registrypb.Result{
		Code:        string(result.Code),
		Detail:      result.Detail,
		Session:     result.Session,
		Version:     result.Version,
		TextVersion: result.ConfigVersion,
		Text:        result.Config,
		MoreFaults:  int64(result.MoreFaults),
		Granted:     result.Granted,
		Count:       result.Count,
	}
	for _, fault := range result.Faults {
		wire.Faults = append(wire.Faults, &registrypb.Fault{
			Line: int64(fault.Line), Column: int64(fault.Column), Path: fault.Path, Message: fault.Message,
		})
	}
	if result.Claim.State != "" {
		wire.Claim = claimToWire(&result.Claim)
	}
	if result.Order.ID != "" {
		wire.Order = orderToWire(result.Order)
	}
	return wire
}

func resultFromWire(wire *registrypb.Result) Result {
	result := Result{
		Code:          Code(wire.GetCode()),
		Detail:        wire.GetDetail(),
		Session:       wire.GetSession(),
		Version:       wire.GetVersion(),
		ConfigVersion: wire.GetTextVersion(),
		Config:        bytesFromWire(wire.GetText()),
		MoreFaults:    int(wire.GetMoreFaults()),
		Granted:       wire.GetGranted(),
		Count:         wire.GetCount(),
	}
	for _, fault := range wire.GetFaults() {
		result.Faults = append(result.Faults, fleet.Fault{
			Line: int(fault.GetLine()), Column: int(fault.GetColumn()), Path: fault.GetPath(), Message: fault.GetMessage(),
		})
	}
	if wire.GetClaim() != nil {
		result.Claim = *claimFromWire(wire.GetClaim())
	}
	if wire.GetOrder() != nil {
		result.Order = orderFromWire(wire.GetOrder())
	}
	return result
}
