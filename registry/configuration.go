package registry

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"comfreytiller.dev/fleet"
)

// applyFleet accepts a text made from the version in force.
func (s *state) applyFleet(number uint64, command ApplyFleet) Result {
	if command.Base != s.fleetVersion {
		return Result{
			Code:        CodeConflict,
			Detail:      fmt.Sprintf("made from version %d, in force is version %d", command.Base, s.fleetVersion),
			Version:     s.fleetVersion,
			TextVersion: s.fleetVersion,
		}
	}
	next, err := s.read(command.Text)
	if err != nil {
		return invalid(err)
	}
	if used := s.removedInUse(next); len(used) > 0 && !command.Force {
		return refuse(CodeInUse, "the text removes services in use: "+listOf(used))
	}
	s.fleetVersion++
	s.fleetText = command.Text
	s.fleet = next
	s.changed.fleet = true
	s.dropPins()
	s.assignOwners(number)
	return Result{Code: CodeOK, Version: s.fleetVersion}
}

// numberFleet accepts a text with a higher version than the one in force. What
// has been overtaken is accepted without an effect, so that it may be resent.
func (s *state) numberFleet(number uint64, command NumberFleet) Result {
	switch {
	case command.Version == 0:
		return refuse(CodeMalformed, "versions start at 1")
	case command.Version == s.fleetVersion && !bytes.Equal(command.Text, s.fleetText):
		return Result{
			Code:    CodeConflict,
			Detail:  fmt.Sprintf("version %d is in force with another text", s.fleetVersion),
			Version: s.fleetVersion,
		}
	case command.Version <= s.fleetVersion:
		return Result{Code: CodeOK, Version: s.fleetVersion}
	}
	next, err := s.read(command.Text)
	if err != nil {
		return invalid(err)
	}
	s.fleetVersion = command.Version
	s.fleetText = command.Text
	s.fleet = next
	s.changed.fleet = true
	s.dropPins()
	s.assignOwners(number)
	return Result{Code: CodeOK, Version: s.fleetVersion}
}

// listOf names the first of the services and counts the rest.
func listOf(services []string) string {
	if len(services) <= maxListedServices {
		return strings.Join(services, ", ")
	}
	listed := strings.Join(services[:maxListedServices], ", ")
	return fmt.Sprintf("%s and %d more", listed, len(services)-maxListedServices)
}

func invalid(err error) Result {
	var faults *fleet.Faults
	if !errors.As(err, &faults) {
		return refuse(CodeInvalid, err.Error())
	}
	kept := faults.All[:min(len(faults.All), MaxResultFaults)]
	return Result{Code: CodeInvalid, Faults: kept, MoreFaults: faults.Omitted + len(faults.All) - len(kept)}
}

// removedInUse returns the services that the text removes although they have an
// owner, a pinned target, or a claim that is open or in doubt.
func (s *state) removedInUse(next *fleet.Fleet) []string {
	if s.fleet == nil {
		return nil
	}
	var used []string
	for _, service := range s.fleet.Services {
		if _, kept := next.Service(service.Name); !kept && s.inUse(service.Name) {
			used = append(used, service.Name)
		}
	}
	return used
}

func (s *state) inUse(service string) bool {
	if _, owned := s.owners[service]; owned {
		return true
	}
	for _, pinned := range s.pins {
		if pinned == service {
			return true
		}
	}
	for key, claim := range s.claims.byKey {
		if key.Service == service && !claim.ended() {
			return true
		}
	}
	return false
}

// dropPins removes the pins to services that are no longer in the fleet.
func (s *state) dropPins() {
	for target, service := range s.pins {
		if _, known := s.fleet.Service(service); !known {
			delete(s.pins, target)
			s.outageVersion++
			s.changed.outages = true
		}
	}
}

func (s *state) setOutage(number uint64, command SetOutage) Result {
	if result, ok := s.checkOutage(command); !ok {
		return result
	}
	outages, name := s.targetsOut, command.Target
	if command.FailureDomain != "" {
		outages, name = s.domainsOut, command.FailureDomain
	}
	if outages[name] == command.Out {
		return Result{Code: CodeOK, Version: s.outageVersion}
	}
	if command.Out {
		outages[name] = true
	} else {
		delete(outages, name)
	}
	s.outageVersion++
	s.changed.outages = true
	s.assignOwners(number)
	return Result{Code: CodeOK, Version: s.outageVersion}
}

func (s *state) checkOutage(command SetOutage) (Result, bool) {
	if (command.FailureDomain == "") == (command.Target == "") {
		return refuse(CodeMalformed, "an outage names a failure domain or a target"), false
	}
	if len(command.FailureDomain) > MaxIdentifierBytes || len(command.Target) > MaxIdentifierBytes {
		return refuse(CodeMalformed, "the name is too long"), false
	}
	if command.Base != 0 && command.Base != s.outageVersion {
		detail := fmt.Sprintf("made from outage version %d, in force is %d", command.Base, s.outageVersion)
		return Result{Code: CodeConflict, Detail: detail, Version: s.outageVersion}, false
	}
	if command.Out && command.FailureDomain != "" && !s.knowsDomain(command.FailureDomain) {
		return refuse(CodeUnknown, "there is no failure domain "+command.FailureDomain), false
	}
	if command.Out && len(s.targetsOut) >= MaxTargetsOut {
		return refuse(CodeFull, "too many targets are out"), false
	}
	return Result{}, true
}

// knowsDomain reports whether the fleet text or an open session names it.
func (s *state) knowsDomain(name string) bool {
	// A fleet that lists no failure domain leaves them to its hosts and targets.
	if s.fleet != nil && (len(s.fleet.FailureDomains) == 0 || slices.Contains(s.fleet.FailureDomains, name)) {
		return true
	}
	for _, session := range s.sessions {
		if session.FailureDomain == name {
			return true
		}
	}
	return false
}

func (s *state) pin(command Pin) Result {
	if !validIdentifier(command.Target) {
		return refuse(CodeMalformed, "a pin needs a target")
	}
	if s.pins[command.Target] == command.Service {
		return Result{Code: CodeOK, Version: s.outageVersion}
	}
	if command.Service == "" {
		delete(s.pins, command.Target)
	} else {
		if s.fleet == nil {
			return refuse(CodeUnknown, "there is no fleet yet")
		}
		if _, known := s.fleet.Service(command.Service); !known {
			return refuse(CodeUnknown, "there is no service "+command.Service)
		}
		if len(s.pins) >= MaxTargetsOut {
			return refuse(CodeFull, "too many pins")
		}
		s.pins[command.Target] = command.Service
	}
	s.outageVersion++
	s.changed.outages = true
	return Result{Code: CodeOK, Version: s.outageVersion}
}
