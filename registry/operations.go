package registry

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// operations keeps the results of the newest operator commands.
type operations struct {
	byID map[string]completedOperation
	// evictionOrder holds the operation IDs, oldest first.
	evictionOrder []string
}

// completedOperation is an executed operator command with its result.
type completedOperation struct {
	Operation
	fingerprint uint64
	result      Result
}

func newOperations() operations {
	return operations{byID: map[string]completedOperation{}}
}

func (o *operations) add(operation completedOperation) {
	o.byID[operation.ID] = operation
	o.evictionOrder = append(o.evictionOrder, operation.ID)
	if len(o.evictionOrder) <= MaxOperations {
		return
	}
	delete(o.byID, o.evictionOrder[0])
	o.evictionOrder = o.evictionOrder[1:]
}

// executeOnce executes an operator command unless its result is already known.
// The results of the newest MaxOperations commands are kept; retention is counted
// in commands, not by a clock.
//
// The configuration that accompanies a conflict is not kept with the result: the
// reply to a command that is sent again contains the current configuration.
func (s *state) executeOnce(operation Operation, fingerprint uint64, execute func() Result) Result {
	if !validIdentifier(operation.ID) {
		return refuse(CodeMalformed, "an operation needs an ID of at most "+strconv.Itoa(MaxIdentifierBytes)+" bytes")
	}
	done, exists := s.operations.byID[operation.ID]
	if exists && done.fingerprint != fingerprint {
		return refuse(CodeOperationReused, "operation "+operation.ID)
	}
	if exists {
		return s.withCurrentConfig(done.result)
	}
	s.advanceClock(operation.Time)
	result := execute()
	s.operations.add(completedOperation{operation, fingerprint, result})
	return s.withCurrentConfig(result)
}

// withCurrentConfig adds the current fleet configuration to a version conflict.
func (s *state) withCurrentConfig(result Result) Result {
	if result.Code == CodeConflict && result.ConfigVersion != 0 {
		result.ConfigVersion = s.fleetVersion
		result.Config = s.fleetConfig
	}
	return result
}

// hashParts returns the hash of the parts, each prefixed with its length, so that
// different lists of parts never hash the same bytes.
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
