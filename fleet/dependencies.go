package fleet

import (
	"fmt"
	"strings"
)

// dependencies reports services that depend on unknown ones or on themselves.
func (c *checker) dependencies() {
	index := make(map[string]int, len(c.fleet.Services))
	for i, service := range c.fleet.Services {
		index[service.Name] = i
	}
	complete := c.allNamed("Services", "Name")
	for i, service := range c.fleet.Services {
		path := fmt.Sprintf("Services[%d].DependsOn", i)
		for j, needed := range service.DependsOn {
			if _, known := index[needed]; !known && complete {
				c.faultf(fmt.Sprintf("%s[%d]", path, j), "there is no service %q; accepted are the names under Services", needed)
			}
		}
		c.unique(path+"[%d]", "service", service.DependsOn)
	}
	c.circles(index)
}

// The states of a service while the graph is walked.
const (
	unvisited = iota
	onPath
	visited
)

// circles reports each service that closes a circle, once, with the circle.
func (c *checker) circles(index map[string]int) {
	state := make([]int, len(c.fleet.Services))
	var path []string
	var walk func(i int)
	walk = func(i int) {
		state[i] = onPath
		path = append(path, c.fleet.Services[i].Name)
		for j, needed := range c.fleet.Services[i].DependsOn {
			next, known := index[needed]
			if !known {
				continue
			}
			if state[next] == onPath {
				c.faultf(fmt.Sprintf("Services[%d].DependsOn[%d]", i, j), "services depend on each other in a circle: %s", circle(path, needed))
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

// circle cuts the path to the part from the name on and closes it.
func circle(path []string, name string) string {
	for i, step := range path {
		if step == name {
			return strings.Join(append(path[i:len(path):len(path)], name), " -> ")
		}
	}
	return name
}
