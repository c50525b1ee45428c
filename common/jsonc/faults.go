package jsonc

import (
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// ErrInvalid matches every *Faults with errors.Is.
var ErrInvalid = errors.New("invalid configuration")

// Fault is one error in the input.
type Fault struct {
	// Line and Column start at 1. Column counts characters, not bytes.
	Line   int
	Column int
	// Path locates the value, such as Services[2].DependsOn[0]. It is empty for a
	// fault of the input as a whole.
	Path string
	// Message describes the error and the accepted values.
	Message string
}

// String formats the fault as one line without a file name.
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("line %d, column %d: %s: %s", f.Line, f.Column, f.Path, f.Message)
}

// Faults is the error returned for invalid input. It lists the faults in the order
// of their positions.
type Faults struct {
	All []Fault
	// Omitted is the number of faults beyond MaxFaults.
	Omitted int
}

// Error returns one line for each fault.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.All)+1)
	for _, fault := range f.All {
		lines = append(lines, fault.String())
	}
	if f.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more faults", f.Omitted))
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (f *Faults) Is(target error) bool {
	return target == ErrInvalid
}

// NewFaults sorts the faults by position and keeps the first MaxFaults.
func NewFaults(all []Fault) *Faults {
	slices.SortStableFunc(all, func(a, b Fault) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	if len(all) <= MaxFaults {
		return &Faults{All: all}
	}
	return &Faults{All: all[:MaxFaults], Omitted: len(all) - MaxFaults}
}
