package jsonc

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// Reader copies a syntax tree into the domain types and collects the faults.
type Reader struct {
	Source []byte
	Faults []Fault
	// Omitted counts the faults beyond MaxFaults. To find the place of a fault
	// costs a pass over the text, so theirs is not looked for.
	Omitted int
}

// Err returns everything that is wrong with the text as a *Faults; nil for
// nothing.
func (r *Reader) Err() error {
	if len(r.Faults) == 0 {
		return nil
	}
	faults := NewFaults(r.Faults)
	faults.Omitted += r.Omitted
	return faults
}

// FieldPath is the way from the root of the text to a value.
type FieldPath struct {
	parent *FieldPath
	name   string
	index  int
}

// Member returns the place of an object's member.
func (p *FieldPath) Member(name string) *FieldPath {
	return &FieldPath{parent: p, name: name}
}

// Element returns the place of a list's element, counted from 0.
func (p *FieldPath) Element(index int) *FieldPath {
	return &FieldPath{parent: p, index: index}
}

// String gives the path as it stands in a Fault.
func (p *FieldPath) String() string {
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

// Field is one accepted key of an object and what reads its value.
type Field struct {
	Name     string
	Required bool
	Read     func(value *hujson.Value, at *FieldPath)
}

// Faultf records a fault at an offset of the text.
func (r *Reader) Faultf(offset int, path, format string, arguments ...any) {
	if len(r.Faults) >= MaxFaults {
		r.Omitted++
		return
	}
	line, column := position(r.Source, offset)
	r.Faults = append(r.Faults, Fault{
		Line:    line,
		Column:  column,
		Path:    path,
		Message: fmt.Sprintf(format, arguments...),
	})
}

// position returns the line and column of an offset, both from 1.
func position(text []byte, offset int) (line, column int) {
	before := string(text[:min(offset, len(text))])
	line = 1 + strings.Count(before, "\n")
	column = 1 + utf8.RuneCountInString(before[strings.LastIndexByte(before, '\n')+1:])
	return line, column
}

// Object reads the members of an object, each at most once.
func (r *Reader) Object(value *hujson.Value, at *FieldPath, fields ...Field) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		r.ReportWrongType(value, at, "an object in braces")
		return
	}
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		r.readMember(&object.Members[i], at, fields, seen)
	}
	for _, wanted := range fields {
		if wanted.Required && !seen[wanted.Name] {
			r.Faultf(value.StartOffset, at.Member(wanted.Name).String(), "this key is missing and has no default")
		}
	}
}

func (r *Reader) readMember(member *hujson.ObjectMember, at *FieldPath, fields []Field, seen map[string]bool) {
	name := member.Name.Value.(hujson.Literal).String()
	here := at.Member(name)
	if seen[name] {
		r.Faultf(member.Name.StartOffset, here.String(), "this key stands twice in the same object")
		return
	}
	for _, accepted := range fields {
		if accepted.Name == name {
			seen[name] = true
			accepted.Read(&member.Value, here)
			return
		}
	}
	r.Faultf(member.Name.StartOffset, here.String(), "unknown key; accepted are %s", fieldNames(fields))
}

func fieldNames(fields []Field) string {
	names := make([]string, 0, len(fields))
	for _, field := range fields {
		names = append(names, field.Name)
	}
	return strings.Join(names, ", ")
}

// List reads the elements of an array with at most limit elements.
func (r *Reader) List(value *hujson.Value, at *FieldPath, limit int, read func(value *hujson.Value, at *FieldPath)) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		r.ReportWrongType(value, at, "a list in brackets")
		return
	}
	if len(array.Elements) > limit {
		r.Faultf(value.StartOffset, at.String(), "%d elements; accepted are at most %d", len(array.Elements), limit)
		return
	}
	for i := range array.Elements {
		read(&array.Elements[i], at.Element(i))
	}
}

// literal returns the value if it is of that kind.
func (r *Reader) literal(value *hujson.Value, at *FieldPath, kind hujson.Kind, accepted string) (hujson.Literal, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != kind {
		r.ReportWrongType(value, at, accepted)
		return nil, false
	}
	return literal, true
}

// ReportWrongType records that the value is of another kind than the accepted one.
func (r *Reader) ReportWrongType(value *hujson.Value, at *FieldPath, accepted string) {
	r.Faultf(value.StartOffset, at.String(), "%s; accepted is %s", describe(value.Value), accepted)
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

// Source reads a string.
func String(r *Reader, into *string) func(*hujson.Value, *FieldPath) {
	return func(value *hujson.Value, at *FieldPath) {
		if literal, ok := r.literal(value, at, '"', "a string in double quotes"); ok {
			*into = literal.String()
		}
	}
}

// Name reads a string that other parts of the text may refer to.
func Name(r *Reader, into *string) func(*hujson.Value, *FieldPath) {
	return func(value *hujson.Value, at *FieldPath) {
		literal, ok := r.literal(value, at, '"', "a name in double quotes")
		if !ok {
			return
		}
		*into = literal.String()
		if !ValidName(*into) {
			r.Faultf(value.StartOffset, at.String(),
				"%q is not a name; accepted are 1 to %d letters, digits, '.', '_', '-', a letter or digit first", *into, MaxNameBytes)
		}
	}
}

// ValidName reports whether the text may be a name.
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

// Names reads a list of at most limit names.
func Names(r *Reader, into *[]string, limit int) func(*hujson.Value, *FieldPath) {
	return func(value *hujson.Value, at *FieldPath) {
		r.List(value, at, limit, func(value *hujson.Value, at *FieldPath) {
			var element string
			Name(r, &element)(value, at)
			*into = append(*into, element)
		})
	}
}

// Boolean reads true or false.
func Boolean(r *Reader, into *bool) func(*hujson.Value, *FieldPath) {
	return func(value *hujson.Value, at *FieldPath) {
		literal, ok := value.Value.(hujson.Literal)
		if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
			r.ReportWrongType(value, at, "true or false")
			return
		}
		*into = literal.Bool()
	}
}

// Integer reads a whole number within the bounds, both included.
func Integer[T int | int64](r *Reader, into *T, lowest, highest T) func(*hujson.Value, *FieldPath) {
	return func(value *hujson.Value, at *FieldPath) {
		literal, ok := r.literal(value, at, '0', "a whole number")
		if !ok {
			return
		}
		parsed, err := strconv.ParseInt(string(literal), 10, 64)
		if err != nil || T(parsed) < lowest || T(parsed) > highest {
			r.Faultf(value.StartOffset, at.String(), "%s is out of range; accepted is a whole number from %d to %d", literal, lowest, highest)
			return
		}
		*into = T(parsed)
	}
}

// Number reads a number within the bounds, both included.
func Number(r *Reader, into *float64, lowest, highest float64) func(*hujson.Value, *FieldPath) {
	return func(value *hujson.Value, at *FieldPath) {
		literal, ok := r.literal(value, at, '0', "a number")
		if !ok {
			return
		}
		parsed, err := strconv.ParseFloat(string(literal), 64)
		if err != nil || parsed < lowest || parsed > highest {
			r.Faultf(value.StartOffset, at.String(), "%s is out of range; accepted is a number from %g to %g", literal, lowest, highest)
			return
		}
		*into = parsed
	}
}

// Duration reads a string such as "30s" within the bounds, both included.
func Duration(r *Reader, into *time.Duration, lowest, highest time.Duration) func(*hujson.Value, *FieldPath) {
	accepted := fmt.Sprintf("a duration with its unit, such as \"30s\" or \"250ms\", from %q to %q", lowest, highest)
	return func(value *hujson.Value, at *FieldPath) {
		literal, ok := r.literal(value, at, '"', accepted)
		if !ok {
			return
		}
		parsed, err := time.ParseDuration(literal.String())
		if err != nil || parsed < lowest || parsed > highest {
			r.Faultf(value.StartOffset, at.String(), "%s is not accepted; accepted is %s", literal, accepted)
			return
		}
		*into = parsed
	}
}
