package jsonc

import (
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// ErrInvalid is what errors.Is finds in every *Faults.
var ErrInvalid = errors.New("invalid text")

// Fault is one thing wrong with a text.
type Fault struct {
	// Line and Column count from 1; Column counts characters.
	Line   int
	Column int
	// Path names the value, such as Services[2].DependsOn[0].
	Path string
	// Message says what is wrong and what is accepted.
	Message string
}

// String gives the fault as one line without a file name.
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("line %d, column %d: %s: %s", f.Line, f.Column, f.Path, f.Message)
}

// Faults is the error of a parse: everything that is wrong with the text, in the
// order of the text.
type Faults struct {
	All []Fault
	// Omitted counts the faults beyond MaxFaults, which are left out.
	Omitted int
}

// Error gives one line for each fault.
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

// NewFaults sorts the faults by place and keeps the first MaxFaults.
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
