package registry

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// operations remembers the answers to the operators' newest commands.
type operations struct {
	byID map[string]doneOperation
	// order holds the IDs, oldest first.
	order []string
}

// doneOperation is an operator's command that has its answer.
type doneOperation struct {
	Operation
	fingerprint uint64
	result      Result
}

func newOperations() operations {
	return operations{byID: map[string]doneOperation{}}
}

func (o *operations) add(done doneOperation) {
	o.byID[done.ID] = done
	o.order = append(o.order, done.ID)
	if len(o.order) <= MaxOperations {
		return
	}
	delete(o.byID, o.order[0])
	o.order = o.order[1:]
}

// once executes an operator's command unless it has an answer already. The
// answers to the newest MaxOperations commands are remembered, counted in
// commands and not by a clock.
//
// A verdict is kept, not the text that goes with a conflict: the answer to a
// command that is sent again carries the text in force then.
func (s *state) once(operation Operation, fingerprint uint64, execute func() Result) Result {
	if !validIdentifier(operation.ID) {
		return refuse(CodeMalformed, "an operation needs an ID of at most "+strconv.Itoa(MaxIdentifierBytes)+" bytes")
	}
	done, exists := s.operations.byID[operation.ID]
	if exists && done.fingerprint != fingerprint {
		return refuse(CodeOperationReused, "operation "+operation.ID)
	}
	if exists {
		return s.withText(done.result)
	}
	s.tick(operation.Time)
	result := execute()
	s.operations.add(doneOperation{operation, fingerprint, result})
	return s.withText(result)
}

// withText adds the text in force to a conflict of versions.
func (s *state) withText(result Result) Result {
	if result.Code == CodeConflict && result.ConfigVersion != 0 {
		result.ConfigVersion = s.fleetVersion
		result.Config = s.fleetText
	}
	return result
}

// hash of parts, each with its length, so that no two lists of parts hash the
// same bytes.
func hashParts(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}

func (c ApplyFleet) fingerprint() uint64 {
	return hashParts("ApplyFleet", strconv.FormatUint(c.BaseVersion, 10), string(c.Config), strconv.FormatBool(c.Force))
}

func (c SetOutage) fingerprint() uint64 {
	return hashParts("SetOutage", c.FailureDomain, c.Target, strconv.FormatBool(c.Out), strconv.FormatUint(c.BaseVersion, 10))
}

func (c Pin) fingerprint() uint64 {
	return hashParts("Pin", c.Target, c.Service)
}

func (c SettleClaim) fingerprint() uint64 {
	return hashParts("SettleClaim", c.Key.Workspace, c.Key.Service, c.Key.Key, strconv.FormatBool(c.Ran), c.Note)
}
