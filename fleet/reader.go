package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// reader copies a syntax tree into the domain types and collects the faults.
type reader struct {
	text   []byte
	faults []Fault
}

// place is the way from the root of the text to a value.
type place struct {
	parent *place
	name   string
	index  int
}

func (p *place) member(name string) *place {
	return &place{parent: p, name: name}
}

func (p *place) element(index int) *place {
	return &place{parent: p, index: index}
}

// String gives the path as it stands in a Fault.
func (p *place) String() string {
	if p == nil {
		return ""
	}
	if p.name == "" {
		return fmt.Sprintf("%s[%d]", p.parent, p.index)
	}
	if p.parent == nil {
		return p.name
	}
	return p.parent.String() + "." + p.name
}

// field is one accepted key of an object and what reads its value.
type field struct {
	name     string
	required bool
	read     func(value *hujson.Value, at *place)
}

func (r *reader) fault(offset int, path, format string, arguments ...any) {
	line, column := position(r.text, offset)
	r.faults = append(r.faults, Fault{
		Line:    line,
		Column:  column,
		Path:    clip(path),
		Message: clip(fmt.Sprintf(format, arguments...)),
	})
}

// clip cuts a text that repeats too much of the operators' text.
func clip(text string) string {
	if len(text) <= maxFaultBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxFaultBytes], "") + "..."
}

// position returns the line and column of an offset, both from 1.
func position(text []byte, offset int) (line, column int) {
	before := string(text[:min(offset, len(text))])
	line = 1 + strings.Count(before, "\n")
	column = 1 + utf8.RuneCountInString(before[strings.LastIndexByte(before, '\n')+1:])
	return line, column
}

// object reads the members of an object, each at most once.
func (r *reader) object(value *hujson.Value, at *place, fields ...field) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		r.wrongKind(value, at, "an object in braces")
		return
	}
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		r.readMember(&object.Members[i], at, fields, seen)
	}
	for _, wanted := range fields {
		if wanted.required && !seen[wanted.name] {
			r.fault(value.StartOffset, at.member(wanted.name).String(), "this key is missing and has no default")
		}
	}
}

func (r *reader) readMember(member *hujson.ObjectMember, at *place, fields []field, seen map[string]bool) {
	name := member.Name.Value.(hujson.Literal).String()
	here := at.member(name)
	if seen[name] {
		r.fault(member.Name.StartOffset, here.String(), "this key stands twice in the same object")
		return
	}
	for _, accepted := range fields {
		if accepted.name == name {
			seen[name] = true
			accepted.read(&member.Value, here)
			return
		}
	}
	r.fault(member.Name.StartOffset, here.String(), "unknown key; accepted are %s", fieldNames(fields))
}

func fieldNames(fields []field) string {
	names := make([]string, 0, len(fields))
	for _, field := range fields {
		names = append(names, field.name)
	}
	return strings.Join(names, ", ")
}

// list reads the elements of an array with at most limit elements.
func (r *reader) list(value *hujson.Value, at *place, limit int, read func(value *hujson.Value, at *place)) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		r.wrongKind(value, at, "a list in brackets")
		return
	}
	if len(array.Elements) > limit {
		r.fault(value.StartOffset, at.String(), "%d elements; accepted are at most %d", len(array.Elements), limit)
		return
	}
	for i := range array.Elements {
		read(&array.Elements[i], at.element(i))
	}
}

// literal returns the value if it is of that kind.
func (r *reader) literal(value *hujson.Value, at *place, kind hujson.Kind, accepted string) (hujson.Literal, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != kind {
		r.wrongKind(value, at, accepted)
		return nil, false
	}
	return literal, true
}

func (r *reader) wrongKind(value *hujson.Value, at *place, accepted string) {
	r.fault(value.StartOffset, at.String(), "%s; accepted is %s", describe(value.Value), accepted)
}

func describe(value hujson.ValueTrimmed) string {
	switch value.Kind() {
	case '{':
		return "this is an object"
	case '[':
		return "this is a list"
	case '"':
		return "this is a string"
	case '0':
		return "this is a number"
	case 'n':
		return "this is null"
	}
	return "this is true or false"
}

func text(r *reader, into *string) func(*hujson.Value, *place) {
	return func(value *hujson.Value, at *place) {
		if literal, ok := r.literal(value, at, '"', "a string in double quotes"); ok {
			*into = literal.String()
		}
	}
}

// name reads a string that other parts of the text may refer to.
func name(r *reader, into *string) func(*hujson.Value, *place) {
	return func(value *hujson.Value, at *place) {
		literal, ok := r.literal(value, at, '"', "a name in double quotes")
		if !ok {
			return
		}
		*into = literal.String()
		if !ValidName(*into) {
			r.fault(value.StartOffset, at.String(),
				"%q is not a name; accepted are 1 to %d letters, digits, '.', '_', '-', a letter or digit first", *into, MaxNameBytes)
		}
	}
}

// ValidName reports whether the text may name a service, call, workspace,
// failure domain or adapter.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for i, c := range []byte(name) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case i > 0 && (c == '.' || c == '_' || c == '-'):
		default:
			return false
		}
	}
	return true
}

func names(r *reader, into *[]string, limit int) func(*hujson.Value, *place) {
	return func(value *hujson.Value, at *place) {
		r.list(value, at, limit, func(value *hujson.Value, at *place) {
			var element string
			name(r, &element)(value, at)
			*into = append(*into, element)
		})
	}
}

func boolean(r *reader, into *bool) func(*hujson.Value, *place) {
	return func(value *hujson.Value, at *place) {
		literal, ok := value.Value.(hujson.Literal)
		if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
			r.wrongKind(value, at, "true or false")
			return
		}
		*into = literal.Bool()
	}
}

func integer[T int | int64](r *reader, into *T, lowest, highest T) func(*hujson.Value, *place) {
	return func(value *hujson.Value, at *place) {
		literal, ok := r.literal(value, at, '0', "a whole number")
		if !ok {
			return
		}
		parsed, err := strconv.ParseInt(string(literal), 10, 64)
		if err != nil || T(parsed) < lowest || T(parsed) > highest {
			r.fault(value.StartOffset, at.String(), "%s is out of range; accepted is a whole number from %d to %d", literal, lowest, highest)
			return
		}
		*into = T(parsed)
	}
}

func number(r *reader, into *float64, lowest, highest float64) func(*hujson.Value, *place) {
	return func(value *hujson.Value, at *place) {
		literal, ok := r.literal(value, at, '0', "a number")
		if !ok {
			return
		}
		parsed, err := strconv.ParseFloat(string(literal), 64)
		if err != nil || parsed < lowest || parsed > highest {
			r.fault(value.StartOffset, at.String(), "%s is out of range; accepted is a number from %g to %g", literal, lowest, highest)
			return
		}
		*into = parsed
	}
}

func duration(r *reader, into *time.Duration, lowest, highest time.Duration) func(*hujson.Value, *place) {
	accepted := fmt.Sprintf("a duration with its unit, such as \"30s\" or \"250ms\", from %q to %q", lowest, highest)
	return func(value *hujson.Value, at *place) {
		literal, ok := r.literal(value, at, '"', accepted)
		if !ok {
			return
		}
		parsed, err := time.ParseDuration(literal.String())
		if err != nil || parsed < lowest || parsed > highest {
			r.fault(value.StartOffset, at.String(), "%s is not accepted; accepted is %s", literal, accepted)
			return
		}
		*into = parsed
	}
}
