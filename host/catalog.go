package host

import (
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/session"
)

// catalog provides the current fleet configuration. It implements
// gateway.Catalog.
type catalog struct {
	session *session.Client
}

// Fleet returns the fleet configuration in force, or nil before the first one.
func (c *catalog) Fleet() *fleet.Fleet { return c.session.View().Fleet }

// Available reports whether all transitive dependencies of a service can serve.
// The service itself is left to its owner, whose refusal carries a reason.
func (c *catalog) Available(service string) bool {
	config := c.session.View().Fleet
	if config == nil {
		return false
	}
	return c.available(config, service, map[string]bool{})
}

func (c *catalog) available(config *fleet.Fleet, name string, seen map[string]bool) bool {
	service, ok := config.Service(name)
	if !ok {
		return false
	}
	seen[name] = true
	for _, dependency := range service.DependsOn {
		if seen[dependency] {
			continue
		}
		if c.session.IsIdle(dependency) || !c.available(config, dependency, seen) {
			return false
		}
	}
	return true
}
