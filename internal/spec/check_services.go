package spec

import (
	"fmt"
	"strings"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// checkServices checks the services and fills c.services.
func (c *checker) checkServices() {
	c.services = map[structs.ServiceName]int{}
	for i, service := range c.text.Services {
		if _, known := c.services[service.Name]; !known {
			c.services[service.Name] = i
		}
	}
	c.checkLength("services", len(c.text.Services), 0, maxServices)
	seen := map[structs.ServiceName]bool{}
	for i, service := range c.text.Services {
		path := fmt.Sprintf("services[%d]", i)
		checkUniqueName(c, path+".name", service.Name, seen)
		c.checkDependencies(path, service)
		c.checkTasks(path, service)
		c.checkRequests(path, service)
		if len(service.Tasks) == 0 && service.Minions == nil {
			c.report.Add(path, "add tasks or minions, or remove the service", "the service has neither tasks nor minions")
		}
	}
}

func (c *checker) checkDependencies(servicePath string, service Service) {
	seen := map[structs.ServiceName]bool{}
	for i, other := range service.DependsOn {
		path := fmt.Sprintf("%s.depends_on[%d]", servicePath, i)
		_, known := c.services[other]
		switch {
		case !known:
			c.report.Add(path, "use one of: "+strings.Join(sortedKeys(c.services), ", "), "unknown service %.40q", other)
		case seen[other]:
			c.report.Add(path, "remove one of them", "service %q is listed twice", other)
		}
		seen[other] = true
	}
}

func (c *checker) checkTasks(servicePath string, service Service) {
	names := map[string]bool{}
	for i, task := range service.Tasks {
		path := fmt.Sprintf("%s.tasks[%d]", servicePath, i)
		checkUniqueName(c, path+".name", task.Name, names)
		if task.Customer != "" && !c.customers[task.Customer] {
			c.report.Add(path+".customer", "use one of: "+strings.Join(sortedKeys(c.customers), ", "), "unknown customer %.40q", task.Customer)
		}
		c.checkNumber(path+".count", task.Count, 1, maxTaskCount)
		c.checkUrgency(path+".urgency", task.Urgency)
		c.checkLength(path+".data_centres", len(task.DataCentres), 1, maxDataCentres)
		c.checkTaskCentres(path, task)
	}
}

// checkTaskCentres checks that the tasks fit in each of their data centres.
func (c *checker) checkTaskCentres(taskPath string, task ServiceTask) {
	if task.Accelerators < 1 {
		c.report.Add(taskPath+".accelerators", "choose at least 1", "%d is out of range", task.Accelerators)
	}
	seen := map[structs.DataCentre]bool{}
	for i, name := range task.DataCentres {
		path := fmt.Sprintf("%s.data_centres[%d]", taskPath, i)
		centre, known := c.centres[name]
		if !known {
			c.reportUnknownCentre(path, name)
			continue
		}
		if seen[name] {
			c.report.Add(path, "remove one of them", "data centre %q is listed twice", name)
		}
		seen[name] = true
		have := centre.Racks.accelerators()
		if centre.Racks.usable() && task.Accelerators >= 1 && task.Count >= 1 && task.Accelerators > have/task.Count {
			c.report.Add(path, "lower count or accelerators", "%d tasks of %d accelerators do not fit %s, which has %d",
				task.Count, task.Accelerators, name, have)
		}
	}
}

// checkRequests checks the minions and the kinds of requests of a service.
func (c *checker) checkRequests(servicePath string, service Service) {
	if service.Minions == nil {
		if len(service.Kinds) > 0 {
			c.report.Add(servicePath+".kinds", "add minions or remove the kinds", "the service has kinds of requests but no minions")
		}
		return
	}
	c.checkNumber(servicePath+".minions.slots", service.Minions.Slots, 1, maxSlots)
	least := connectionsPerSlot * (max(1, service.Minions.Slots) + 1)
	c.checkNumber(servicePath+".minions.connections", service.Minions.Connections, min(least, maxConnections), maxConnections)
	c.checkLength(servicePath+".kinds", len(service.Kinds), 1, maxServices)
	names := map[structs.KindName]bool{}
	shares := 0.0
	for i, kind := range service.Kinds {
		path := fmt.Sprintf("%s.kinds[%d]", servicePath, i)
		checkUniqueName(c, path+".name", kind.Name, names)
		c.checkRequestKind(path, kind)
		shares += kind.Share
	}
	if shares > 1+shareRounding {
		c.report.Add(servicePath+".kinds", "lower the shares so that they sum to at most 1", "the shares sum to %.4g", shares)
	}
}

func (c *checker) checkRequestKind(path string, kind RequestKind) {
	c.checkUrgency(path+".urgency", kind.Urgency)
	c.checkDuration(path+".deadline", kind.Deadline, time.Millisecond, maxDeadline)
	c.checkDuration(path+".run_time", kind.RunTime, time.Microsecond, maxDeadline)
	if kind.RunTime > kind.Deadline {
		c.report.Add(path+".run_time", "lower it or raise the deadline", "%v is longer than the deadline of %v", kind.RunTime, kind.Deadline)
	}
	if kind.Share < 0 || kind.Share > 1 {
		c.report.Add(path+".share", "choose a value in the range", "%v is out of range; 0 to 1", kind.Share)
	}
}

// checkDependencyCycles reports each dependency that closes a cycle. Its depth-first search keeps an explicit stack, so that
// a long chain of dependencies cannot exhaust the goroutine's stack.
func (c *checker) checkDependencyCycles() {
	const (
		unvisited = iota
		onPath
		finished
	)
	type frame struct{ service, next int }     // next: index of the next dependency to follow
	state := make([]int, len(c.text.Services)) // by index of the service
	for root := range c.text.Services {
		if state[root] != unvisited {
			continue
		}
		state[root] = onPath
		path := []frame{{service: root}}
		for len(path) > 0 {
			top := &path[len(path)-1]
			depends := c.text.Services[top.service].DependsOn
			if top.next == len(depends) {
				state[top.service] = finished
				path = path[:len(path)-1]
				continue
			}
			edge := top.next
			top.next++
			target, known := c.services[depends[edge]]
			switch {
			case !known || state[target] == finished:
			case state[target] == unvisited:
				state[target] = onPath
				path = append(path, frame{service: target})
			default:
				var names []string
				for _, f := range path {
					if f.service == target || len(names) > 0 {
						names = append(names, string(c.text.Services[f.service].Name))
					}
				}
				names = append(names, string(depends[edge]))
				at := fmt.Sprintf("services[%d].depends_on[%d]", top.service, edge)
				c.report.Add(at, "remove one of these dependencies", "dependency cycle: %s", strings.Join(names, " -> "))
			}
		}
	}
}
