package web

import (
	"encoding/json"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
)

// ErrInvalidMessage reports a body that is not a valid message.
var ErrInvalidMessage = errors.New("invalid message")

// announcementBody is an announcement on the wire.
type announcementBody struct {
	Name          string
	Incarnation   uint64
	Sequence      uint64
	Address       string
	FailureDomain string
	Kind          string
	Service       string
	Model         string
	Version       string
	Adapters      []string
	Role          string
	Capacity      int
	CachedChats   int
	Cold          bool
	ChecksFence   bool
	Resumes       bool
	MovesCache    bool
}

// loadBody is a load report on the wire.
type loadBody struct {
	Name        string
	Incarnation uint64
	Sequence    uint64
	Service     string
	InFlight    int
	Queued      int
	CacheUsed   float64
	Cold        bool
}

// eventBody is a cache event on the wire.
type eventBody struct {
	Name        string
	Incarnation uint64
	Sequence    uint64
	Service     string
	Change      string
	Chats       []string
}

// leaveBody is a leave on the wire.
type leaveBody struct {
	Name        string
	Incarnation uint64
	Sequence    uint64
	Service     string
}

// EncodeAnnouncement writes an announcement as JSON.
func EncodeAnnouncement(a target.Announcement) ([]byte, error) {
	return json.Marshal(announcementBody{
		Name: a.Name, Incarnation: a.Incarnation, Sequence: a.Sequence, Address: a.Address,
		FailureDomain: a.FailureDomain, Kind: string(a.Kind), Service: a.Service, Model: a.Model,
		Version: a.Version, Adapters: a.Adapters, Role: string(a.Role), Capacity: a.Capacity,
		CachedChats: a.CachedChats, Cold: a.Cold, ChecksFence: a.ChecksFence, Resumes: a.Resumes,
		MovesCache: a.MovesCache,
	})
}

// DecodeAnnouncement reads an announcement and checks its fields.
func DecodeAnnouncement(data []byte) (target.Announcement, error) {
	var b announcementBody
	if err := json.Unmarshal(data, &b); err != nil {
		return target.Announcement{}, errors.Wrapf(ErrInvalidMessage, "announcement: %v", err)
	}
	a := target.Announcement{
		Name: b.Name, Stamp: target.Stamp{Incarnation: b.Incarnation, Sequence: b.Sequence}, Address: b.Address,
		FailureDomain: b.FailureDomain, Kind: target.Kind(b.Kind), Service: b.Service, Model: b.Model,
		Version: b.Version, Adapters: b.Adapters, Role: target.Role(b.Role), Capacity: b.Capacity,
		CachedChats: b.CachedChats, Cold: b.Cold, ChecksFence: b.ChecksFence, Resumes: b.Resumes,
		MovesCache: b.MovesCache,
	}
	return a, checkAnnouncement(a)
}

// EncodeLoadReport writes a load report as JSON.
func EncodeLoadReport(r target.LoadReport) ([]byte, error) {
	return json.Marshal(loadBody{
		Name: r.Name, Incarnation: r.Incarnation, Sequence: r.Sequence, Service: r.Service,
		InFlight: r.InFlight, Queued: r.Queued, CacheUsed: r.CacheUsed, Cold: r.Cold,
	})
}

// DecodeLoadReport reads a load report and checks its fields.
func DecodeLoadReport(data []byte) (target.LoadReport, error) {
	var b loadBody
	if err := json.Unmarshal(data, &b); err != nil {
		return target.LoadReport{}, errors.Wrapf(ErrInvalidMessage, "load report: %v", err)
	}
	r := target.LoadReport{
		Name: b.Name, Stamp: target.Stamp{Incarnation: b.Incarnation, Sequence: b.Sequence},
		Service: b.Service, InFlight: b.InFlight, Queued: b.Queued, CacheUsed: b.CacheUsed, Cold: b.Cold,
	}
	return r, checkLoad(r)
}

// EncodeCacheEvent writes a cache event as JSON.
func EncodeCacheEvent(e target.CacheEvent) ([]byte, error) {
	return json.Marshal(eventBody{
		Name: e.Name, Incarnation: e.Incarnation, Sequence: e.Sequence, Service: e.Service,
		Change: string(e.Change), Chats: e.Chats,
	})
}

// DecodeCacheEvent reads a cache event and checks its fields.
func DecodeCacheEvent(data []byte) (target.CacheEvent, error) {
	var b eventBody
	if err := json.Unmarshal(data, &b); err != nil {
		return target.CacheEvent{}, errors.Wrapf(ErrInvalidMessage, "cache event: %v", err)
	}
	e := target.CacheEvent{
		Name: b.Name, Stamp: target.Stamp{Incarnation: b.Incarnation, Sequence: b.Sequence},
		Service: b.Service, Change: target.CacheChange(b.Change), Chats: b.Chats,
	}
	return e, checkEvent(e)
}

// EncodeLeave writes a leave as JSON.
func EncodeLeave(l target.Leave) ([]byte, error) {
	return json.Marshal(leaveBody{
		Name: l.Name, Incarnation: l.Incarnation, Sequence: l.Sequence, Service: l.Service,
	})
}

// DecodeLeave reads a leave and checks its fields.
func DecodeLeave(data []byte) (target.Leave, error) {
	var b leaveBody
	if err := json.Unmarshal(data, &b); err != nil {
		return target.Leave{}, errors.Wrapf(ErrInvalidMessage, "leave: %v", err)
	}
	l := target.Leave{
		Name: b.Name, Stamp: target.Stamp{Incarnation: b.Incarnation, Sequence: b.Sequence},
		Service: b.Service,
	}
	return l, checkName(l.Name, l.Stamp)
}
