package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// operatorPatience is how long callers of the control interface wait for a response before
// they go on to another daemon.
const operatorPatience = time.Second

// backoff is the first pause of the operator between two calls; it doubles each time.
const backoff = 50 * time.Millisecond

// Operator calls the control interface as PROTOCOL.md says: it goes on to another daemon
// after a failure, a 5xx, a 408 or 429 or a second without a response.
type Operator struct {
	Fleet *Fleet
}

// once sends one call and returns its status; 0 without a response.
func (o *Operator) once(method, address, path string, body []byte, patience time.Duration) (status int, text []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// Order sends an order to the hubs, in turn from the one with the index first, until it has
// a clear answer, for at most the limit. It returns the status and when it arrived.
func (o *Operator) Order(method, path string, body []byte, first int, limit time.Duration) (status int, at time.Time) {
	pause := backoff
	for end := time.Now().Add(limit); ; first++ {
		hub := o.Fleet.Hubs[first%len(o.Fleet.Hubs)]
		o.Fleet.Record.Printf("operator: %s %s sent to %s", method, path, hub.Name)
		status, text := o.once(method, hub.Control, path, body, operatorPatience)
		at := time.Now()
		o.Fleet.Record.Printf("operator: %s %s from %s: %d %.120s", method, path, hub.Name, status, text)
		if status != 0 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, at
		}
		if time.Now().Add(pause).After(end) {
			return status, at
		}
		time.Sleep(pause)
		pause *= 2
	}
}

// Once sends one call to a hub and returns its status; 0 without a response.
func (o *Operator) Once(method string, hub *Machine, path string, body []byte) (status int, text []byte) {
	return o.once(method, hub.Control, path, body, operatorPatience)
}

// Get reads from one hub.
func (o *Operator) Get(hub *Machine, path string) (status int, text []byte) {
	return o.once(http.MethodGet, hub.Control, path, nil, operatorPatience)
}
