package fleet

import (
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// Parse reads and checks a text. Keys that are left out get their defaults. Its
// error is a *Faults that holds everything that is wrong with the text.
//
// A call is idempotent only where the text says so.
func Parse(text []byte) (*Fleet, error) {
	r := &reader{text: text}
	root, ok := r.parseTree()
	if !ok {
		return nil, newFaults(r.faults)
	}
	parsed := r.fleet(root)
	if len(r.faults) == 0 {
		r.check(parsed, root)
	}
	if len(r.faults) > 0 {
		return nil, newFaults(r.faults)
	}
	return parsed, nil
}

// parseTree returns the syntax tree of a text within the bounds.
func (r *reader) parseTree() (*hujson.Value, bool) {
	if len(r.text) > MaxTextBytes {
		r.fault(0, "", "the text has %d bytes; accepted are at most %d", len(r.text), MaxTextBytes)
		return nil, false
	}
	if !utf8.Valid(r.text) {
		r.fault(firstInvalid(r.text), "", "this byte is not UTF-8; accepted is a text in UTF-8")
		return nil, false
	}
	if offset, deep := tooDeep(r.text); deep {
		r.fault(offset, "", "objects and lists are nested too deep; accepted are at most %d levels", MaxNesting)
		return nil, false
	}
	root, err := hujson.Parse(r.text)
	if err != nil {
		r.faults = append(r.faults, syntaxFault(err))
		return nil, false
	}
	return &root, true
}

// firstInvalid returns the offset of the first byte that is not UTF-8.
func firstInvalid(text []byte) int {
	for offset := 0; offset < len(text); {
		character, size := utf8.DecodeRune(text[offset:])
		if character == utf8.RuneError && size == 1 {
			return offset
		}
		offset += size
	}
	return len(text)
}

// syntaxFault takes the place out of the syntax library's message, which has
// the form "hujson: line 3, column 7: what is wrong".
func syntaxFault(err error) Fault {
	fault := Fault{Line: 1, Column: 1}
	_, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &fault.Line, &fault.Column)
	fault.Message = "not JSON with comments: " + err.Error()
	if _, rest, found := strings.Cut(err.Error(), ": line "); scanErr == nil && found {
		_, message, _ := strings.Cut(rest, ": ")
		fault.Message = "not JSON with comments: " + message
	}
	return fault
}

// tooDeep finds the bracket that opens one level more than MaxNesting. It runs
// before the syntax library, which is recursive without a bound.
func tooDeep(text []byte) (offset int, deep bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
		case '{', '[':
			depth++
			if depth > MaxNesting {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

func endOfComment(text []byte, start int) int {
	rest := string(text[start:])
	end, width := -1, 0
	switch {
	case strings.HasPrefix(rest, "//"):
		end, width = strings.Index(rest, "\n"), 1
	case strings.HasPrefix(rest, "/*"):
		end, width = strings.Index(rest[2:], "*/"), 4
	default:
		return start
	}
	if end < 0 {
		return len(text)
	}
	return start + end + width - 1
}

func (r *reader) fleet(root *hujson.Value) *Fleet {
	parsed := &Fleet{Store: defaultStore()}
	r.object(
		root, nil,
		field{"Name", true, name(r, &parsed.Name)},
		field{"FailureDomains", true, names(r, &parsed.FailureDomains, maxFailureDomains)},
		field{"Services", true, func(value *hujson.Value, at *place) {
			r.list(value, at, maxServices, func(value *hujson.Value, at *place) {
				parsed.Services = append(parsed.Services, r.service(value, at))
			})
		}},
		field{"Workspaces", false, func(value *hujson.Value, at *place) {
			r.list(value, at, maxWorkspaces, func(value *hujson.Value, at *place) {
				parsed.Workspaces = append(parsed.Workspaces, r.workspace(value, at))
			})
		}},
		field{"Store", false, func(value *hujson.Value, at *place) {
			r.store(value, at, &parsed.Store)
		}},
	)
	return parsed
}

func (r *reader) service(value *hujson.Value, at *place) Service {
	service := defaultService()
	r.object(
		value, at,
		field{"Name", true, name(r, &service.Name)},
		field{"Kind", true, text(r, &service.Kind)},
		field{"Model", false, text(r, &service.Model)},
		field{"Version", false, text(r, &service.Version)},
		field{"Adapters", false, names(r, &service.Adapters, maxAdapters)},
		field{"DependsOn", false, names(r, &service.DependsOn, maxServices)},
		field{"Calls", true, func(value *hujson.Value, at *place) {
			r.list(value, at, maxCalls, func(value *hujson.Value, at *place) {
				service.Calls = append(service.Calls, r.call(value, at))
			})
		}},
		field{"Limits", false, func(value *hujson.Value, at *place) { r.limits(value, at, &service.Limits) }},
		field{"WarmUp", false, func(value *hujson.Value, at *place) { r.warmUp(value, at, &service.WarmUp) }},
		field{"Placement", false, func(value *hujson.Value, at *place) { r.placement(value, at, &service.Placement) }},
		field{"Timeouts", false, func(value *hujson.Value, at *place) { r.timeouts(value, at, &service.Timeouts) }},
	)
	return service
}

func (r *reader) call(value *hujson.Value, at *place) Call {
	var call Call
	r.object(
		value, at,
		field{"Name", true, name(r, &call.Name)},
		field{"Idempotent", false, boolean(r, &call.Idempotent)},
		field{"Priority", false, integer(r, &call.Priority, 0, maxPriority)},
		field{"Stream", false, boolean(r, &call.Stream)},
	)
	return call
}

func (r *reader) limits(value *hujson.Value, at *place, limits *Limits) {
	r.object(
		value, at,
		field{"InFlightPerTarget", false, integer(r, &limits.InFlightPerTarget, 1, maxInFlight)},
		field{"LoadFactor", false, number(r, &limits.LoadFactor, 1, maxLoadFactor)},
		field{"Queue", false, integer(r, &limits.Queue, 0, maxQueue)},
		field{"QueueWait", false, duration(r, &limits.QueueWait, 0, maxQueueWait)},
		field{"BodyBytes", false, integer(r, &limits.BodyBytes, 1, maxBodyBytes)},
	)
}

func (r *reader) warmUp(value *hujson.Value, at *place, warmUp *WarmUp) {
	r.object(
		value, at,
		field{"ColdLimit", false, integer(r, &warmUp.ColdLimit, 1, maxInFlight)},
		field{"RampRequests", false, integer(r, &warmUp.RampRequests, 1, maxRampRequests)},
		field{"ColdFirstByte", false, duration(r, &warmUp.ColdFirstByte, 0, maxFirstByte)},
	)
}

func (r *reader) placement(value *hujson.Value, at *place, placement *Placement) {
	r.object(
		value, at,
		field{"Min", false, integer(r, &placement.Min, 0, maxReplicas)},
		field{"Max", false, integer(r, &placement.Max, 0, maxReplicas)},
		field{"Spread", false, integer(r, &placement.Spread, 1, maxFailureDomains)},
		field{"Role", false, text(r, &placement.Role)},
	)
}

func (r *reader) timeouts(value *hujson.Value, at *place, timeouts *Timeouts) {
	r.object(
		value, at,
		field{"FirstByte", false, duration(r, &timeouts.FirstByte, time.Millisecond, maxFirstByte)},
		field{"Gap", false, duration(r, &timeouts.Gap, time.Millisecond, maxFirstByte)},
		field{"Total", false, duration(r, &timeouts.Total, time.Millisecond, maxTotal)},
	)
}

func (r *reader) workspace(value *hujson.Value, at *place) Workspace {
	workspace := Workspace{Share: DefaultShare}
	r.object(
		value, at,
		field{"Name", true, name(r, &workspace.Name)},
		field{"Share", false, integer(r, &workspace.Share, 1, maxShare)},
		field{"Services", false, names(r, &workspace.Services, maxServices)},
	)
	return workspace
}

func (r *reader) store(value *hujson.Value, at *place, store *Store) {
	r.object(
		value, at,
		field{"ConcurrentLoads", false, integer(r, &store.ConcurrentLoads, 1, maxConcurrentLoads)},
		field{"BytesPerSecond", false, integer(r, &store.BytesPerSecond, 1, maxBytesPerSecond)},
	)
}
