package fleet

import (
	"fmt"
	"strings"
)

// checkDependencies reports unknown dependencies, duplicate ones and cycles.
func (c *checker) checkDependencies() {
	index := make(map[string]int, len(c.fleet.Services))
	for i, service := range c.fleet.Services {
		index[service.Name] = i
	}
	allReadable := c.namesReadable("Services", "Name")
	for i, service := range c.fleet.Services {
		path := fmt.Sprintf("Services[%d].DependsOn", i)
		for j, dependency := range service.DependsOn {
			if _, known := index[dependency]; !known && allReadable {
				c.faultf(fmt.Sprintf("%s[%d]", path, j), "there is no service %q; accepted are the names under Services", dependency)
			}
		}
		c.checkUnique(path+"[%d]", "service", service.DependsOn)
	}
	c.checkCycles(index)
}

// The states of a service during the depth-first search.
const (
	unvisited = iota
	onPath
	visited
)

// checkCycles reports each dependency that closes a cycle, with the services in it.
func (c *checker) checkCycles(index map[string]int) {
	state := make([]int, len(c.fleet.Services))
	var path []string
	var walk func(i int)
	walk = func(i int) {
		state[i] = onPath
		path = append(path, c.fleet.Services[i].Name)
		for j, dependency := range c.fleet.Services[i].DependsOn {
			next, known := index[dependency]
			if !known {
				continue
			}
			if state[next] == onPath {
				c.faultf(fmt.Sprintf("Services[%d].DependsOn[%d]", i, j), "services depend on each other in a circle: %s", formatCycle(path, dependency))
			}
			if state[next] == unvisited {
				walk(next)
			}
		}
		path = path[:len(path)-1]
		state[i] = visited
	}
	for i := range c.fleet.Services {
		if state[i] == unvisited {
			walk(i)
		}
	}
}

// formatCycle returns the part of the path that starts at the name, closed by the
// name.
func formatCycle(path []string, name string) string {
	for i, step := range path {
		if step == name {
			return strings.Join(append(path[i:len(path):len(path)], name), " -> ")
		}
	}
	return name
}
