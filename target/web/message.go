package web

import (
	"encoding/json"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
)

// ErrInvalidMessage reports a message that cannot be decoded or has an invalid
// field.
var ErrInvalidMessage = errors.New("invalid message")

// announcementBody is the JSON encoding of an announcement.
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

// loadReportBody is the JSON encoding of a load report.
type loadReportBody struct {
	Name        string
	Incarnation uint64
	Sequence    uint64
	Service     string
	InFlight    int
	Queued      int
	CacheUsed   float64
	Cold        bool
}

// cacheEventBody is the JSON encoding of a cache event.
type cacheEventBody struct {
	Name        string
	Incarnation uint64
	Sequence    uint64
	Service     string
	Change      string
	Chats       []string
}

// leaveBody is the JSON encoding of a leave.
type leaveBody struct {
	Name        string
	Incarnation uint64
	Sequence    uint64
	Service     string
}

// EncodeAnnouncement encodes an announcement as JSON.
func EncodeAnnouncement(a target.Announcement) ([]byte, error) {
	return json.Marshal(announcementBody{
		Name: a.Name, Incarnation: a.Incarnation, Sequence: a.Sequence, Address: a.Address,
		FailureDomain: a.FailureDomain, Kind: string(a.Kind), Service: a.Service, Model: a.Model,
		Version: a.Version, Adapters: a.Adapters, Role: string(a.Role), Capacity: a.Capacity,
		CachedChats: a.CacheCapacityChats, Cold: a.Cold, ChecksFence: a.ChecksFencingToken, Resumes: a.SupportsResume,
		MovesCache: a.SupportsCacheTransfer,
	})
}

// DecodeAnnouncement decodes and validates an announcement. Its error is
// ErrInvalidMessage.
func DecodeAnnouncement(data []byte) (target.Announcement, error) {
	var b announcementBody
	if err := json.Unmarshal(data, &b); err != nil {
		return target.Announcement{}, errors.Wrapf(ErrInvalidMessage, "announcement: %v", err)
	}
	a := target.Announcement{
		Name: b.Name, Stamp: target.Stamp{Incarnation: b.Incarnation, Sequence: b.Sequence}, Address: b.Address,
		FailureDomain: b.FailureDomain, Kind: target.Kind(b.Kind), Service: b.Service, Model: b.Model,
		Version: b.Version, Adapters: b.Adapters, Role: target.Role(b.Role), Capacity: b.Capacity,
		CacheCapacityChats: b.CachedChats, Cold: b.Cold, ChecksFencingToken: b.ChecksFence, SupportsResume: b.Resumes,
		SupportsCacheTransfer: b.MovesCache,
	}
	return a, checkAnnouncement(a)
}

// EncodeLoadReport encodes a load report as JSON.
func EncodeLoadReport(r target.LoadReport) ([]byte, error) {
	return json.Marshal(loadReportBody{
		Name: r.Name, Incarnation: r.Incarnation, Sequence: r.Sequence, Service: r.Service,
		InFlight: r.InFlight, Queued: r.Queued, CacheUsed: r.CacheUsed, Cold: r.Cold,
	})
}

// DecodeLoadReport decodes and validates a load report. Its error is
// ErrInvalidMessage.
func DecodeLoadReport(data []byte) (target.LoadReport, error) {
	var b loadReportBody
	if err := json.Unmarshal(data, &b); err != nil {
		return target.LoadReport{}, errors.Wrapf(ErrInvalidMessage, "load report: %v", err)
	}
	r := target.LoadReport{
		Name: b.Name, Stamp: target.Stamp{Incarnation: b.Incarnation, Sequence: b.Sequence},
		Service: b.Service, InFlight: b.InFlight, Queued: b.Queued, CacheUsed: b.CacheUsed, Cold: b.Cold,
	}
	return r, checkLoadReport(r)
}

// EncodeCacheEvent encodes a cache event as JSON.
func EncodeCacheEvent(e target.CacheEvent) ([]byte, error) {
	return json.Marshal(cacheEventBody{
		Name: e.Name, Incarnation: e.Incarnation, Sequence: e.Sequence, Service: e.Service,
		Change: string(e.Change), Chats: e.Chats,
	})
}

// DecodeCacheEvent decodes and validates a cache event. Its error is
// ErrInvalidMessage.
func DecodeCacheEvent(data []byte) (target.CacheEvent, error) {
	var b cacheEventBody
	if err := json.Unmarshal(data, &b); err != nil {
		return target.CacheEvent{}, errors.Wrapf(ErrInvalidMessage, "cache event: %v", err)
	}
	e := target.CacheEvent{
		Name: b.Name, Stamp: target.Stamp{Incarnation: b.Incarnation, Sequence: b.Sequence},
		Service: b.Service, Change: target.CacheChange(b.Change), Chats: b.Chats,
	}
	return e, checkCacheEvent(e)
}

// EncodeLeave encodes a leave as JSON.
func EncodeLeave(l target.Leave) ([]byte, error) {
	return json.Marshal(leaveBody{
		Name: l.Name, Incarnation: l.Incarnation, Sequence: l.Sequence, Service: l.Service,
	})
}

// DecodeLeave decodes and validates a leave. Its error is ErrInvalidMessage.
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
