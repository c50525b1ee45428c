package jsonc

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// Reader decodes a syntax tree into domain types and collects the faults.
type Reader struct {
	Source []byte
	Faults []Fault
	// Omitted is the number of faults beyond MaxFaults. They are only counted,
	// because locating a fault takes a pass over the source.
	Omitted int
}

// Err returns the collected faults as a *Faults, or nil if there are none.
func (r *Reader) Err() error {
	if len(r.Faults) == 0 {
		return nil
	}
	faults := NewFaults(r.Faults)
	faults.Omitted += r.Omitted
	return faults
}

// FieldPath is the path from the root of the source to a value. The root is nil.
type FieldPath struct {
	parent *FieldPath
	name   string
	index  int
}

// Member returns the path of an object's member.
func (p *FieldPath) Member(name string) *FieldPath {
	return &FieldPath{parent: p, name: name}
}

// Element returns the path of a list's element; index starts at 0.
func (p *FieldPath) Element(index int) *FieldPath {
	return &FieldPath{parent: p, index: index}
}

// String formats the path as in Fault.Path.
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

// Field is one accepted key of an object with the function that reads its value.
type Field struct {
	Name     string
	Required bool
	Read     func(value *hujson.Value, path *FieldPath)
}

// Faultf records a fault at a byte offset of the source.
func (r *Reader) Faultf(offset int, path, format string, args ...any) {
	if len(r.Faults) >= MaxFaults {
		r.Omitted++
		return
	}
	line, column := position(r.Source, offset)
	r.Faults = append(r.Faults, Fault{
		Line:    line,
		Column:  column,
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	})
}

// position returns the line and column of a byte offset, both starting at 1.
func position(source []byte, offset int) (line, column int) {
	before := string(source[:min(offset, len(source))])
	line = 1 + strings.Count(before, "\n")
	column = 1 + utf8.RuneCountInString(before[strings.LastIndexByte(before, '\n')+1:])
	return line, column
}

// Object reads the members of an object. Unknown, duplicate and missing required
// keys are faults.
func (r *Reader) Object(value *hujson.Value, path *FieldPath, fields ...Field) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		r.ReportWrongType(value, path, "an object in braces")
		return
	}
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		r.readMember(&object.Members[i], path, fields, seen)
	}
	for _, field := range fields {
		if field.Required && !seen[field.Name] {
			r.Faultf(value.StartOffset, path.Member(field.Name).String(), "this key is missing and has no default")
		}
	}
}

func (r *Reader) readMember(member *hujson.ObjectMember, path *FieldPath, fields []Field, seen map[string]bool) {
	name := member.Name.Value.(hujson.Literal).String()
	memberPath := path.Member(name)
	if seen[name] {
		r.Faultf(member.Name.StartOffset, memberPath.String(), "this key stands twice in the same object")
		return
	}
	for _, accepted := range fields {
		if accepted.Name == name {
			seen[name] = true
			accepted.Read(&member.Value, memberPath)
			return
		}
	}
	r.Faultf(member.Name.StartOffset, memberPath.String(), "unknown key; accepted are %s", fieldNames(fields))
}

func fieldNames(fields []Field) string {
	names := make([]string, 0, len(fields))
	for _, field := range fields {
		names = append(names, field.Name)
	}
	return strings.Join(names, ", ")
}

// List reads the elements of an array, which may have at most limit elements.
func (r *Reader) List(value *hujson.Value, path *FieldPath, limit int, read func(value *hujson.Value, path *FieldPath)) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		r.ReportWrongType(value, path, "a list in brackets")
		return
	}
	if len(array.Elements) > limit {
		r.Faultf(value.StartOffset, path.String(), "%d elements; accepted are at most %d", len(array.Elements), limit)
		return
	}
	for i := range array.Elements {
		read(&array.Elements[i], path.Element(i))
	}
}

// literal returns the value if it is a literal of the kind, and records a fault
// otherwise.
func (r *Reader) literal(value *hujson.Value, path *FieldPath, kind hujson.Kind, accepted string) (hujson.Literal, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != kind {
		r.ReportWrongType(value, path, accepted)
		return nil, false
	}
	return literal, true
}

// ReportWrongType records a fault for a value of a type that is not accepted.
func (r *Reader) ReportWrongType(value *hujson.Value, path *FieldPath, accepted string) {
	r.Faultf(value.StartOffset, path.String(), "%s; accepted is %s", describeType(value.Value), accepted)
}

func describeType(value hujson.ValueTrimmed) string {
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

// String reads a string.
func String(r *Reader, dst *string) func(*hujson.Value, *FieldPath) {
	return func(value *hujson.Value, path *FieldPath) {
		if literal, ok := r.literal(value, path, '"', "a string in double quotes"); ok {
			*dst = literal.String()
		}
	}
}

// Name reads a string that satisfies ValidName.
func Name(r *Reader, dst *string) func(*hujson.Value, *FieldPath) {
	return func(value *hujson.Value, path *FieldPath) {
		literal, ok := r.literal(value, path, '"', "a name in double quotes")
		if !ok {
			return
		}
		*dst = literal.String()
		if !ValidName(*dst) {
			r.Faultf(value.StartOffset, path.String(),
				"%q is not a name; accepted are 1 to %d letters, digits, '.', '_', '-', a letter or digit first", *dst, MaxNameBytes)
		}
	}
}

// ValidName reports whether name has 1 to MaxNameBytes letters, digits, '.', '_' and
// '-', and starts with a letter or digit.
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

// Names reads a list of at most limit names and appends them.
func Names(r *Reader, dst *[]string, limit int) func(*hujson.Value, *FieldPath) {
	return func(value *hujson.Value, path *FieldPath) {
		r.List(value, path, limit, func(value *hujson.Value, path *FieldPath) {
			var element string
			Name(r, &element)(value, path)
			*dst = append(*dst, element)
		})
	}
}

// Boolean reads a boolean.
func Boolean(r *Reader, dst *bool) func(*hujson.Value, *FieldPath) {
	return func(value *hujson.Value, path *FieldPath) {
		literal, ok := value.Value.(hujson.Literal)
		if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
			r.ReportWrongType(value, path, "true or false")
			return
		}
		*dst = literal.Bool()
	}
}

// Integer reads an integer from minValue to maxValue, inclusive.
func Integer[T int | int64](r *Reader, dst *T, minValue, maxValue T) func(*hujson.Value, *FieldPath) {
	return func(value *hujson.Value, path *FieldPath) {
		literal, ok := r.literal(value, path, '0', "a whole number")
		if !ok {
			return
		}
		parsed, err := strconv.ParseInt(string(literal), 10, 64)
		if err != nil || T(parsed) < minValue || T(parsed) > maxValue {
			r.Faultf(value.StartOffset, path.String(), "%s is out of range; accepted is a whole number from %d to %d", literal, minValue, maxValue)
			return
		}
		*dst = T(parsed)
	}
}

// Number reads a number from minValue to maxValue, inclusive.
func Number(r *Reader, dst *float64, minValue, maxValue float64) func(*hujson.Value, *FieldPath) {
	return func(value *hujson.Value, path *FieldPath) {
		literal, ok := r.literal(value, path, '0', "a number")
		if !ok {
			return
		}
		parsed, err := strconv.ParseFloat(string(literal), 64)
		if err != nil || parsed < minValue || parsed > maxValue {
			r.Faultf(value.StartOffset, path.String(), "%s is out of range; accepted is a number from %g to %g", literal, minValue, maxValue)
			return
		}
		*dst = parsed
	}
}

// Duration reads a duration string such as "30s" from minValue to maxValue,
// inclusive.
func Duration(r *Reader, dst *time.Duration, minValue, maxValue time.Duration) func(*hujson.Value, *FieldPath) {
	accepted := fmt.Sprintf("a duration with its unit, such as \"30s\" or \"250ms\", from %q to %q", minValue, maxValue)
	return func(value *hujson.Value, path *FieldPath) {
		literal, ok := r.literal(value, path, '"', accepted)
		if !ok {
			return
		}
		parsed, err := time.ParseDuration(literal.String())
		if err != nil || parsed < minValue || parsed > maxValue {
			r.Faultf(value.StartOffset, path.String(), "%s is not accepted; accepted is %s", literal, accepted)
			return
		}
		*dst = parsed
	}
}
