package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// connectPatience is how long clients wait for a new connection.
const connectPatience = time.Second

// Answer is what a client got for one attempt.
type Answer struct {
	Attempt string
	// Status is 0 without a whole response.
	Status  int
	Seal    string
	Body    []byte
	SentAt  time.Time
	EndedAt time.Time
	Err     error
}

// Client sends requests, each attempt on a new connection.
type Client struct {
	Fleet    *Fleet
	Host     string
	Key      string
	Deadline time.Duration

	last atomic.Int64
}

// Send sends one attempt to the front of an entry.
func (c *Client) Send(front, method, path string, body io.Reader) Answer {
	return c.SendWith(front, method, path, body, nil)
}

// SendWith is Send with further headers.
func (c *Client) SendWith(front, method, path string, body io.Reader, headers map[string]string) Answer {
	answer := Answer{Attempt: fmt.Sprintf("%016x", c.last.Add(1)), SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, body)
	if err != nil {
		answer.Err = err
		return answer
	}
	request.Host = c.Host
	request.Header.Set("X-Attempt-Id", answer.Attempt)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if c.Key != "" {
		request.Header.Set("X-Api-Key", c.Key)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	dialer := &net.Dialer{Timeout: connectPatience}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext}}
	c.Fleet.Record.Printf("client: %s %s %s sent to %s", answer.Attempt, method, path, front)
	response, err := client.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		answer.Body, err = io.ReadAll(response.Body)
	}
	answer.Err, answer.EndedAt = err, time.Now()
	if response != nil {
		answer.Seal = response.Header.Get("X-Replica-Seal")
		if err == nil {
			answer.Status = response.StatusCode
		}
	}
	c.Fleet.Record.Printf("client: %s got %d, signature %q, %d bytes, error %v", answer.Attempt, answer.Status, answer.Seal, len(answer.Body), err)
	return answer
}
