package target

import (
	"context"
	"net"
)

// Dialer opens connections to targets. A *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}
