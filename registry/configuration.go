package registry

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"comfreytiller.dev/fleet"
)

// applyFleet accepts a configuration that is based on the current version.
func (s *state) applyFleet(sequence uint64, command ApplyFleet) Result {
	if command.BaseVersion != s.fleetVersion {
		return Result{
			Code:          CodeConflict,
			Detail:        fmt.Sprintf("made from version %d, in force is version %d", command.BaseVersion, s.fleetVersion),
			Version:       s.fleetVersion,
			ConfigVersion: s.fleetVersion,
		}
	}
	next, err := s.parseFleet(command.Config)
	if err != nil {
		return invalidConfig(err)
	}
	if used := s.removedServicesInUse(next); len(used) > 0 && !command.Force {
		return refuse(CodeInUse, "the text removes services in use: "+formatServices(used))
	}
	s.fleetVersion++
	s.fleetConfig = command.Config
	s.fleet = next
	s.changed.fleet = true
	s.removeStalePins()
	s.assignOwners(sequence)
	return Result{Code: CodeOK, Version: s.fleetVersion}
}

// applyVersionedFleet accepts a configuration with a higher version than the
// current one. An older version succeeds without effect, so that it can be sent
// again.
func (s *state) applyVersionedFleet(sequence uint64, command ApplyVersionedFleet) Result {
	switch {
	case command.Version == 0:
		return refuse(CodeMalformed, "versions start at 1")
	case command.Version == s.fleetVersion && !bytes.Equal(command.Config, s.fleetConfig):
		return Result{
			Code:    CodeConflict,
			Detail:  fmt.Sprintf("version %d is in force with another text", s.fleetVersion),
			Version: s.fleetVersion,
		}
	case command.Version <= s.fleetVersion:
		return Result{Code: CodeOK, Version: s.fleetVersion}
	}
	next, err := s.parseFleet(command.Config)
	if err != nil {
		return invalidConfig(err)
	}
	s.fleetVersion = command.Version
	s.fleetConfig = command.Config
	s.fleet = next
	s.changed.fleet = true
	s.removeStalePins()
	s.assignOwners(sequence)
	return Result{Code: CodeOK, Version: s.fleetVersion}
}

// formatServices lists the first maxListedServices names and the number of the
// remaining ones.
func formatServices(services []string) string {
	if len(services) <= maxListedServices {
		return strings.Join(services, ", ")
	}
	listed := strings.Join(services[:maxListedServices], ", ")
	return fmt.Sprintf("%s and %d more", listed, len(services)-maxListedServices)
}

func invalidConfig(err error) Result {
	var faults *fleet.Faults
	if !errors.As(err, &faults) {
		return refuse(CodeInvalid, err.Error())
	}
	kept := faults.All[:min(len(faults.All), MaxResultFaults)]
	return Result{Code: CodeInvalid, Faults: kept, MoreFaults: faults.Omitted + len(faults.All) - len(kept)}
}

// removedServicesInUse returns the services that the new configuration removes
// although they have an owner, a pinned target, or a claim that is open or in
// doubt.
func (s *state) removedServicesInUse(next *fleet.Fleet) []string {
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
		if key.Service == service && !claim.isResolved() {
			return true
		}
	}
	return false
}

// removeStalePins removes the pins to services that are no longer configured.
func (s *state) removeStalePins() {
	for target, service := range s.pins {
		if _, known := s.fleet.Service(service); !known {
			delete(s.pins, target)
			s.outageVersion++
			s.changed.outages = true
		}
	}
}

func (s *state) setOutage(sequence uint64, command SetOutage) Result {
	if result, ok := s.validateOutage(command); !ok {
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
	s.assignOwners(sequence)
	return Result{Code: CodeOK, Version: s.outageVersion}
}

func (s *state) validateOutage(command SetOutage) (Result, bool) {
	if (command.FailureDomain == "") == (command.Target == "") {
		return refuse(CodeMalformed, "an outage names a failure domain or a target"), false
	}
	if len(command.FailureDomain) > MaxIdentifierBytes || len(command.Target) > MaxIdentifierBytes {
		return refuse(CodeMalformed, "the name is too long"), false
	}
	if command.BaseVersion != 0 && command.BaseVersion != s.outageVersion {
		detail := fmt.Sprintf("made from outage version %d, in force is %d", command.BaseVersion, s.outageVersion)
		return Result{Code: CodeConflict, Detail: detail, Version: s.outageVersion}, false
	}
	if command.Out && command.FailureDomain != "" && !s.isKnownDomain(command.FailureDomain) {
		return refuse(CodeUnknown, "there is no failure domain "+command.FailureDomain), false
	}
	if command.Out && len(s.targetsOut) >= MaxTargetsOut {
		return refuse(CodeFull, "too many targets are out"), false
	}
	return Result{}, true
}

// isKnownDomain reports whether the fleet configuration or a session contains the
// failure domain.
func (s *state) isKnownDomain(name string) bool {
	// A configuration that lists no failure domains accepts those of its hosts
	// and targets.
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

func (s *state) setPin(command Pin) Result {
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
