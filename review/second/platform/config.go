package platform

import "encoding/json"

// Route is a route of a configuration.
type Route struct {
	Name       string  `json:"name"`
	Hostname   string  `json:"hostname"`
	PathPrefix string  `json:"pathPrefix"`
	Type       string  `json:"type"`
	TimeoutMs  float64 `json:"timeoutMs"`
	SloMs      float64 `json:"sloMs"`
	Priority   int     `json:"priority"`
	Service    string  `json:"service"`
	Attempts   int     `json:"attempts"`
	Public     bool    `json:"public"`
	Sticky     bool    `json:"sticky"`
	Resumable  bool    `json:"resumable"`
	// ItlTargetMs is set on streaming routes.
	ItlTargetMs float64 `json:"itlTargetMs,omitempty"`
}

// Runtime describes the engines of a service.
type Runtime struct {
	Slots      int                 `json:"slots"`
	KvCapacity float64             `json:"kvCapacity"`
	Models     []map[string]string `json:"models"`
}

// Service is a service of a configuration.
type Service struct {
	Name       string   `json:"name"`
	HealthPath string   `json:"healthPath"`
	MaxConns   int      `json:"maxConns"`
	Protocol   string   `json:"protocol"`
	TLS        bool     `json:"tls"`
	ColdStartS float64  `json:"coldStartS"`
	ColdPerS   float64  `json:"coldPerS"`
	Runtime    *Runtime `json:"runtime,omitempty"`
}

// Config is a configuration of the operator.
type Config struct {
	Version  int            `json:"version"`
	Routes   []Route        `json:"routes"`
	Services []Service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

// NewConfig returns a configuration with the limits of the example in PROTOCOL.md.
func NewConfig(version int, services []Service, routes ...Route) Config {
	return Config{
		Version: version, Routes: routes, Services: services,
		Limits: map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// Encode returns the document of a configuration.
func (c Config) Encode() []byte {
	encoded, _ := json.Marshal(c)
	return encoded
}

// PlainService returns a service without engines.
func PlainService(name string) Service {
	return Service{Name: name, HealthPath: "/healthz", MaxConns: 248, Protocol: "h1"}
}

// EngineService returns a service of model replicas.
func EngineService(name string) Service {
	service := PlainService(name)
	service.MaxConns, service.ColdPerS = 1395, 20
	service.Runtime = &Runtime{Slots: 8, KvCapacity: 957207, Models: []map[string]string{{"name": "m"}}}
	return service
}
