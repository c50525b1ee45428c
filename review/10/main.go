// Package main is a case of the second review: a configuration allows longer headers, and clients use
// what it allows.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"comfreytiller.dev/comfreytiller/review/second/platform"
)

const (
	// smallLimit is maxHeaderBytes of the first configuration, largeLimit that of the second.
	smallLimit = 16384
	largeLimit = 65536
	// applied is more than configApplyMs after the acknowledgement.
	applied = 4 * time.Second
	// requests are sent to each edge daemon, each with a field of this share of the limit.
	requests    = 50
	headerShare = 0.6
	// The rule allows allowed + 1 in allowedShare of all requests.
	allowed      = 5
	allowedShare = 500
)

func main() { platform.Run("review/10", 2, 5, check) }

func check(d *platform.Deployment) (bool, error) {
	if err := d.StartAll(); err != nil {
		return false, err
	}
	if err := d.PutConfig(1, configWith(1, smallLimit), 20*time.Second); err != nil {
		return false, err
	}
	for i := range 3 {
		if err := d.NewReplica("application", i, serve).Start(); err != nil {
			return false, err
		}
	}
	if err := d.AwaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(applied)
	limit := smallLimit
	if platform.HasTrouble() {
		limit = largeLimit
		if err := d.PutConfig(2, configWith(2, limit), 20*time.Second); err != nil {
			return false, err
		}
		time.Sleep(applied)
	}
	sent, denied := 0, 0
	for _, m := range d.Edges {
		for range requests {
			sent++
			answer := platform.Send(m.Front(), platform.Request{
				Method: http.MethodGet, Host: "api.example", Path: "/lookup/1", Attempt: platform.NewAttempt(), Deadline: 2500 * time.Millisecond,
				Headers: map[string]string{"X-Note": strings.Repeat("n", int(headerShare*float64(limit)))},
			})
			d.Record.Notef("request to %s: status %d, seal %q, error %v, %.100s", m.Name, answer.Status, answer.Seal, answer.Err, answer.Body)
			if answer.Seal == "" && answer.Status >= 400 && answer.Status < 500 && answer.Status != 408 && answer.Status != 421 && answer.Status != 429 {
				denied++
			}
		}
	}
	d.Record.Notef("result: %d sent, %d ended with a 4xx of the system", sent, denied)
	return denied > allowed+sent/allowedShare, nil
}

func configWith(version, headerBytes int) []byte {
	config := platform.NewConfig(version, []platform.Service{platform.PlainService("application")}, platform.Route{
		Name: "lookup", Hostname: "api.example", PathPrefix: "/lookup/", Type: "idempotent", TimeoutMs: 2500, SloMs: 150, Service: "application", Attempts: 2, Public: true,
	})
	config.Limits["maxHeaderBytes"] = headerBytes
	return config.Encode()
}

func serve(r *platform.Replica, w http.ResponseWriter, request *http.Request) {
	r.Seal(w, request)
	_, _ = fmt.Fprint(w, "answer")
}
