package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// checker finds faults that involve more than one value.
type checker struct {
	fleet *Fleet
	// unreadablePaths are the paths of values that could not be read.
	unreadablePaths []string
	report          func(path, message string)
}

// check reports the faults of the parsed configuration with their positions in the
// tree. It omits faults that are only a consequence of a value that could not be
// read.
func (r *reader) check(parsed *Fleet, root *hujson.Value) {
	c := &checker{fleet: parsed}
	for _, fault := range r.Faults {
		c.unreadablePaths = append(c.unreadablePaths, fault.Path)
	}
	c.report = func(path, message string) {
		if !c.isUnreadable(path) {
			r.Faultf(offsetOf(root, path), path, "%s", message)
		}
	}
	c.checkDomains()
	c.checkServices()
	c.checkDependencies()
	c.checkWorkspaces()
	c.checkRoutes()
}

// isUnreadable reports whether the value, one that contains it or one within it could
// not be read.
func (c *checker) isUnreadable(path string) bool {
	for _, unreadable := range c.unreadablePaths {
		if isWithin(path, unreadable) || isWithin(unreadable, path) {
			return true
		}
	}
	return false
}

// isWithin reports whether path is ancestor or lies within it.
func isWithin(path, ancestor string) bool {
	rest, found := strings.CutPrefix(path, ancestor)
	return found && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// namesReadable reports whether all names of a list could be read. Otherwise, a name
// that is not among them cannot be reported as unknown.
func (c *checker) namesReadable(list, member string) bool {
	for _, unreadable := range c.unreadablePaths {
		if unreadable == list || (isWithin(unreadable, list) && strings.HasSuffix(unreadable, member)) {
			return false
		}
	}
	return true
}

// offsetOf returns the offset of the value at the path, or of the nearest enclosing
// value if the configuration omits it.
func offsetOf(root *hujson.Value, path string) int {
	value := root
	for _, step := range strings.FieldsFunc(path, func(c rune) bool { return c == '.' || c == '[' || c == ']' }) {
		next := child(value, step)
		if next == nil {
			break
		}
		value = next
	}
	return value.StartOffset
}

func child(value *hujson.Value, step string) *hujson.Value {
	switch composite := value.Value.(type) {
	case *hujson.Object:
		for i := range composite.Members {
			if composite.Members[i].Name.Value.(hujson.Literal).String() == step {
				return &composite.Members[i].Value
			}
		}
	case *hujson.Array:
		index, err := strconv.Atoi(step)
		if err == nil && index < len(composite.Elements) {
			return &composite.Elements[index]
		}
	}
	return nil
}

func (c *checker) faultf(path, format string, arguments ...any) {
	c.report(path, fmt.Sprintf(format, arguments...))
}

func (c *checker) checkDomains() {
	if len(c.fleet.FailureDomains) == 0 {
		c.faultf("FailureDomains", "no failure domain; accepted is a list of at least one")
	}
	c.checkUnique("FailureDomains[%d]", "failure domain", c.fleet.FailureDomains)
}

// checkUnique reports duplicate names.
func (c *checker) checkUnique(path, what string, names []string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		if seen[name] {
			c.faultf(fmt.Sprintf(path, i), "the %s %q stands twice; each name is accepted once", what, name)
		}
		seen[name] = true
	}
}

func (c *checker) checkServices() {
	if len(c.fleet.Services) == 0 {
		c.faultf("Services", "no service; accepted is a list of at least one")
	}
	names := make([]string, 0, len(c.fleet.Services))
	for i := range c.fleet.Services {
		names = append(names, c.fleet.Services[i].Name)
		c.checkService(fmt.Sprintf("Services[%d]", i), &c.fleet.Services[i])
	}
	c.checkUnique("Services[%d].Name", "service", names)
}

func (c *checker) checkService(path string, service *Service) {
	c.checkKind(path, service)
	c.checkCalls(path, service)
	c.checkLimits(path, service)
	c.checkPlacement(path, service)
	c.checkUnique(path+".Adapters[%d]", "adapter", service.Adapters)
}

func (c *checker) checkKind(path string, service *Service) {
	switch service.Kind {
	case KindModel:
		if service.Model == "" {
			c.faultf(path+".Model", "no model; a service of the kind Model names the model that its engines load")
		}
	case KindPlain:
		if service.Model != "" || service.Version != "" || len(service.Adapters) > 0 {
			c.faultf(path, "a service of the kind Plain has no Model, Version or Adapters")
		}
	default:
		c.faultf(path+".Kind", "%q is not a kind of service; accepted are %q and %q", service.Kind, KindModel, KindPlain)
	}
}

func (c *checker) checkCalls(path string, service *Service) {
	names := make([]string, 0, len(service.Calls))
	for _, call := range service.Calls {
		names = append(names, call.Name)
	}
	if len(names) == 0 {
		c.faultf(path+".Calls", "no call; accepted is a list of at least one")
	}
	c.checkUnique(path+".Calls[%d].Name", "call", names)
}

func (c *checker) checkLimits(path string, service *Service) {
	limits, timeouts := service.Limits, service.Timeouts
	if service.WarmUp.ColdLimit > limits.InFlightPerTarget {
		c.faultf(path+".WarmUp.ColdLimit", "%d is more than InFlightPerTarget %d; accepted is at most that",
			service.WarmUp.ColdLimit, limits.InFlightPerTarget)
	}
	if limits.QueueWait >= timeouts.Total {
		c.faultf(path+".Limits.QueueWait", "%s leaves nothing of Timeouts.Total %s; accepted is less than that", limits.QueueWait, timeouts.Total)
	}
	if timeouts.FirstByte > timeouts.Total {
		c.faultf(path+".Timeouts.FirstByte", "%s is more than Timeouts.Total %s; accepted is at most that", timeouts.FirstByte, timeouts.Total)
	}
	if timeouts.Gap > timeouts.Total {
		c.faultf(path+".Timeouts.Gap", "%s is more than Timeouts.Total %s; accepted is at most that", timeouts.Gap, timeouts.Total)
	}
}

func (c *checker) checkPlacement(path string, service *Service) {
	placement := service.Placement
	path += ".Placement"
	if placement.Max > 0 && placement.Min > placement.Max {
		c.faultf(path+".Min", "%d is more than Max %d; accepted is at most that", placement.Min, placement.Max)
	}
	if placement.Max > 0 && placement.Spread > placement.Max {
		c.faultf(path+".Spread", "%d failure domains cannot be used by at most %d replicas", placement.Spread, placement.Max)
	}
	domains := len(c.fleet.FailureDomains)
	if placement.Spread > domains && domains > 0 && c.namesReadable("FailureDomains", "]") {
		c.faultf(path+".Spread", "%d is more than the %d failure domains of the fleet", placement.Spread, domains)
	}
	if !slices.Contains([]string{RoleMixed, RolePrefill, RoleDecode}, placement.Role) {
		c.faultf(path+".Role", "%q is not a role; accepted are %q, %q and %q for both", placement.Role, RolePrefill, RoleDecode, RoleMixed)
	}
	if placement.Role != RoleMixed && service.Kind != KindModel {
		c.faultf(path+".Role", "only a service of the kind Model has a role")
	}
}

func (c *checker) checkWorkspaces() {
	allReadable := c.namesReadable("Services", "Name")
	known := make(map[string]bool, len(c.fleet.Services))
	for _, service := range c.fleet.Services {
		known[service.Name] = true
	}
	names := make([]string, 0, len(c.fleet.Workspaces))
	for i, workspace := range c.fleet.Workspaces {
		names = append(names, workspace.Name)
		for j, service := range workspace.Services {
			if !known[service] && allReadable {
				c.faultf(fmt.Sprintf("Workspaces[%d].Services[%d]", i, j), "there is no service %q; accepted are the names under Services", service)
			}
		}
		c.checkUnique(fmt.Sprintf("Workspaces[%d].Services[%%d]", i), "service", workspace.Services)
	}
	c.checkUnique("Workspaces[%d].Name", "workspace", names)
}
