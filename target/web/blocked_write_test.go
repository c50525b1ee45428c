package web

import (
	"net"
	"strings"
	"testing"
	"time"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// A target that does not read blocks the write of a request whose header does not fit into
// the buffers of the connection. The timeout interrupts reads only, so that such a request
// waited for its deadline.
func TestClient_TargetThatDoesNotReadLongHeaderTimesOut(t *testing.T) {
	clock := clockwork.NewFakeClock()
	local, remote := net.Pipe()
	defer remote.Close()
	client := NewClient(clock)
	defer client.Close()
	request := fasthttp.AcquireRequest()
	request.SetRequestURI("http://target/")
	request.Header.Set("X-Long", strings.Repeat("x", 2*maxSyncRequestBytes))
	call := target.Call{Address: "target", FirstByteTimeout: time.Second}
	ended := make(chan error, 1)
	go func() {
		_, err := client.roundTrip(t.Context(), newTargetConn(clock, local, "target"), request, call, nativeDialect{})
		ended <- err
	}()
	require.Eventually(t, func() bool {
		clock.Advance(time.Second)
		select {
		case err := <-ended:
			return errors.Is(err, target.ErrTimeout)
		default:
			return false
		}
	}, 10*time.Second, time.Millisecond)
}
