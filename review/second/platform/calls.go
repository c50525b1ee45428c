package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Names on the wire.
const (
	headerAttempt   = "X-Attempt-Id"
	headerDeadline  = "X-Deadline-Ms"
	headerLastEvent = "Last-Event-Id"
	headerExpect    = "X-Expect-Replica"
	headerSeal      = "X-Replica-Seal"
	headerNotRun    = "X-Not-Executed"
	headerReplica   = "X-Replica-Id"
	pathConfig      = "/comfreytiller/config"
	pathReplicas    = "/comfreytiller/replicas/"
	pathReady       = "/comfreytiller/readyz"
)

// callTimeout is how long callers of control wait for a response.
const callTimeout = time.Second

// Call sends one request on a new connection and returns the status and the body.
func Call(method, address, path string, body []byte, limit time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: limit}).DialContext}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// IsReady asks the daemon as the platform does.
func (m *Machine) IsReady() bool {
	status, _, err := Call(http.MethodGet, fmt.Sprintf("%s:%d", m.IP, m.deployment.ports.ready), pathReady, nil, callTimeout)
	return err == nil && status == http.StatusOK
}

// PutConfig sends a configuration to one daemon after the other until it is acknowledged.
func (d *Deployment) PutConfig(version int, body []byte, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		m := d.Cores[attempt%len(d.Cores)]
		status, content, err := Call(http.MethodPut, m.Control(), pathConfig, body, callTimeout)
		d.Record.Notef("operator: PUT of configuration %d to %s: status %d, error %v, %.100s", version, m.Name, status, err, content)
		switch {
		case err == nil && status == http.StatusOK:
			return nil
		case status >= 400 && status < 500 && status != 408 && status != 429:
			return fmt.Errorf("configuration %d is refused with %d: %s", version, status, content)
		}
		time.Sleep(min(time.Duration(50<<min(attempt, 4))*time.Millisecond, 400*time.Millisecond))
	}
	return fmt.Errorf("configuration %d is not acknowledged", version)
}

// GetConfig reads the configuration from any daemon, repeatedly until the limit.
func (d *Deployment) GetConfig(limit time.Duration) ([]byte, error) {
	deadline := time.Now().Add(limit)
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		m := d.Cores[attempt%len(d.Cores)]
		status, content, err := Call(http.MethodGet, m.Control(), pathConfig, nil, callTimeout)
		d.Record.Notef("operator: GET of the configuration from %s: status %d, error %v, %d bytes, %.60s", m.Name, status, err, len(content), content)
		if err == nil && status == http.StatusOK {
			return content, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, fmt.Errorf("the configuration doesn't come")
}
