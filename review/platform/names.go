package platform

import (
	"encoding/json"
	"time"
)

// Paths of the control interface.
const (
	PathConfig   = "/comfreytiller/config"
	PathReplicas = "/comfreytiller/replicas/"
	PathDrain    = "/comfreytiller/drain/"
)

// HeaderTenant is the header that tells replicas the tenant.
const HeaderTenant = "X-Tenant"

// Heartbeat is what a replica says of itself.
type Heartbeat struct {
	Service, Address, Zone, State string
	Slots, Seq                    int
	Born                          time.Time
}

// Encode returns the body of the call.
func (h Heartbeat) Encode() []byte {
	text, _ := json.Marshal(map[string]any{
		"service": h.Service, "address": h.Address, "zone": h.Zone, "version": "v1", "slots": h.Slots,
		"state": h.State, "warmupLeftMs": 0, "seq": h.Seq, "born": h.Born.UnixMilli(),
	})
	return text
}
