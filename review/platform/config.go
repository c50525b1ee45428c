package platform

import (
	"encoding/json"
	"net/http"
	"time"
)

// Route is a route of a configuration.
type Route struct {
	Name       string `json:"name"`
	Hostname   string `json:"hostname"`
	PathPrefix string `json:"pathPrefix"`
	Type       string `json:"type"`
	TimeoutMs  int    `json:"timeoutMs"`
	SloMs      int    `json:"sloMs"`
	Priority   int    `json:"priority"`
	Service    string `json:"service"`
	Attempts   int    `json:"attempts"`
	Public     bool   `json:"public"`
	Sticky     bool   `json:"sticky"`
	Resumable  bool   `json:"resumable"`
	ITLTarget  int    `json:"itlTargetMs"`
}

// Service is a service of a configuration.
type Service struct {
	Name       string         `json:"name"`
	HealthPath string         `json:"healthPath"`
	MaxConns   int            `json:"maxConns"`
	Protocol   string         `json:"protocol"`
	TLS        bool           `json:"tls"`
	ColdStartS float64        `json:"coldStartS"`
	ColdPerS   float64        `json:"coldPerS"`
	Runtime    map[string]any `json:"runtime,omitempty"`
}

// Config is a configuration as the operator sends it.
type Config struct {
	Version  int              `json:"version"`
	Routes   []Route          `json:"routes"`
	Services []Service        `json:"services"`
	Limits   map[string]int   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

// Limits are the limits of PROTOCOL.md's example.
func Limits() map[string]int {
	return map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// Encode returns the body of the operator's call.
func (c Config) Encode() []byte {
	text, _ := json.Marshal(c)
	return text
}

// Configure sends a configuration until it is acknowledged.
func (o *Operator) Configure(config Config, first int, limit time.Duration) (at time.Time, ok bool) {
	status, at := o.Order(http.MethodPut, PathConfig, config.Encode(), first, limit)
	return at, status == http.StatusOK
}

// AwaitReady waits until every entry answers the platform's readiness question with 200.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	operator := &Operator{Fleet: f}
	return Await(limit, func() bool {
		for _, entry := range f.Entries {
			if status, _ := operator.once(http.MethodGet, entry.Ready, "/comfreytiller/readyz", nil, operatorPatience); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}
