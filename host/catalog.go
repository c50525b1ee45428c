package host

import (
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/session"
)

// catalog gives the gateway the fleet in force. It implements gateway.Catalog.
type catalog struct {
	session *session.Client
}

// Fleet returns the fleet in force.
func (c *catalog) Fleet() *fleet.Fleet { return c.session.View().Fleet }

// Available reports whether all that a service depends on can serve. Whether
// the service itself can is its owner's word, which comes with a reason.
func (c *catalog) Available(service string) bool {
	text := c.session.View().Fleet
	if text == nil {
		return false
	}
	return c.available(text, service, map[string]bool{})
}

func (c *catalog) available(text *fleet.Fleet, name string, seen map[string]bool) bool {
	service, ok := text.Service(name)
	if !ok {
		return false
	}
	seen[name] = true
	for _, dependency := range service.DependsOn {
		if seen[dependency] {
			continue
		}
		if c.session.IsIdle(dependency) || !c.available(text, dependency, seen) {
			return false
		}
	}
	return true
}
