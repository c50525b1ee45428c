package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Answer is what a client has got for one attempt.
type Answer struct {
	Status     int
	RetryAfter time.Duration
	Seal       string
	Body       string
	// Events are the IDs of the events of a stream.
	Events []string
	// IsWhole is set if the response came to its end.
	IsWhole bool
	Err     error
}

var lastAttempt atomic.Int64

// NewAttempt returns a new attempt ID.
func NewAttempt() string { return fmt.Sprintf("a%07d", lastAttempt.Add(1)) }

// PromptHeaders returns the headers of a request to a model replica whose prompt has a shared part,
// as ID:TOKENS, and a part of its own.
func PromptHeaders(shared string, own int) map[string]string {
	return map[string]string{"X-Model-Id": "m", "X-Token-Usage": "1050,80", "X-Prefix-Hash": fmt.Sprintf("%s,%x:250", shared, own)}
}

// Request is one attempt of a client.
type Request struct {
	Method, Host, Path, Body string
	Attempt                  string
	Headers                  map[string]string
	Deadline                 time.Duration
}

// Send sends an attempt on a new connection and reads the response to its end.
func Send(address string, r Request) Answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.Deadline))
	request, err := http.NewRequest(r.Method, "http://"+r.Host+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Header.Set(headerAttempt, r.Attempt)
	request.Header.Set(headerDeadline, fmt.Sprint(r.Deadline.Milliseconds()))
	for name, value := range r.Headers {
		request.Header.Set(name, value)
	}
	if err := request.Write(conn); err != nil {
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{Status: response.StatusCode, Seal: response.Header.Get(headerSeal)}
	var seconds float64
	if _, err := fmt.Sscanf(response.Header.Get("Retry-After"), "%g", &seconds); err == nil {
		answer.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	content, err := io.ReadAll(response.Body)
	answer.Body, answer.IsWhole, answer.Err = string(content), err == nil, err
	for event := range strings.SplitSeq(answer.Body, "\n\n") {
		for line := range strings.SplitSeq(event, "\n") {
			if id, found := strings.CutPrefix(line, "id:"); found {
				answer.Events = append(answer.Events, strings.TrimSpace(id))
			}
		}
	}
	return answer
}
