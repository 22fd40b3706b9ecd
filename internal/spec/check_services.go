package spec

import (
	"fmt"
	"strings"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

func (c *checker) serviceList() {
	c.services = map[structs.ServiceName]int{}
	for i, service := range c.text.Services {
		if _, taken := c.services[service.Name]; !taken {
			c.services[service.Name] = i
		}
	}
	c.length("services", len(c.text.Services), 0, maxServices)
	seen := map[structs.ServiceName]bool{}
	for i, service := range c.text.Services {
		path := fmt.Sprintf("services[%d]", i)
		unique(c, path+".name", service.Name, seen)
		c.dependencies(path, service)
		c.tasks(path, service)
		c.requests(path, service)
		if len(service.Tasks) == 0 && service.Minions == nil {
			c.report.Add(path, "add tasks or minions, or remove the service", "the service has neither tasks nor minions")
		}
	}
}

func (c *checker) dependencies(servicePath string, service Service) {
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

func (c *checker) tasks(servicePath string, service Service) {
	names := map[string]bool{}
	for i, task := range service.Tasks {
		path := fmt.Sprintf("%s.tasks[%d]", servicePath, i)
		unique(c, path+".name", task.Name, names)
		if task.Customer != "" && !c.customers[task.Customer] {
			c.report.Add(path+".customer", "use one of: "+strings.Join(sortedKeys(c.customers), ", "), "unknown customer %.40q", task.Customer)
		}
		c.number(path+".count", task.Count, 1, maxTaskCount)
		c.urgency(path+".urgency", task.Urgency)
		c.length(path+".data_centres", len(task.DataCentres), 1, maxDataCentres)
		c.taskCentres(path, task)
	}
}

func (c *checker) taskCentres(taskPath string, task ServiceTask) {
	if task.Accelerators < 1 {
		c.report.Add(taskPath+".accelerators", "choose at least 1", "%d is out of range", task.Accelerators)
	}
	seen := map[structs.DataCentre]bool{}
	for i, name := range task.DataCentres {
		path := fmt.Sprintf("%s.data_centres[%d]", taskPath, i)
		centre, known := c.centres[name]
		if !known {
			c.unknownCentre(path, name)
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

func (c *checker) requests(servicePath string, service Service) {
	if service.Minions == nil {
		if len(service.Kinds) > 0 {
			c.report.Add(servicePath+".kinds", "add minions or remove the kinds", "the service has kinds of requests but no minions")
		}
		return
	}
	c.number(servicePath+".minions.slots", service.Minions.Slots, 1, maxSlots)
	least := connectionsPerSlot * (max(1, service.Minions.Slots) + 1)
	c.number(servicePath+".minions.connections", service.Minions.Connections, min(least, maxConnections), maxConnections)
	c.length(servicePath+".kinds", len(service.Kinds), 1, maxServices)
	names := map[structs.KindName]bool{}
	shares := 0.0
	for i, kind := range service.Kinds {
		path := fmt.Sprintf("%s.kinds[%d]", servicePath, i)
		unique(c, path+".name", kind.Name, names)
		c.requestKind(path, kind)
		shares += kind.Share
	}
	if shares > 1+shareRounding {
		c.report.Add(servicePath+".kinds", "lower the shares so that they sum to at most 1", "the shares sum to %.4g", shares)
	}
}

func (c *checker) requestKind(path string, kind RequestKind) {
	c.urgency(path+".urgency", kind.Urgency)
	c.duration(path+".deadline", kind.Deadline, time.Millisecond, maxDeadline)
	c.duration(path+".run_time", kind.RunTime, time.Microsecond, maxDeadline)
	if kind.RunTime > kind.Deadline {
		c.report.Add(path+".run_time", "lower it or raise the deadline", "%v is longer than the deadline of %v", kind.RunTime, kind.Deadline)
	}
	if kind.Share < 0 || kind.Share > 1 {
		c.report.Add(path+".share", "choose a value in the range", "%v is out of range; 0 to 1", kind.Share)
	}
}

// cycles reports each dependency that closes a cycle. The search keeps its own stack,
// so its depth does not depend on the text.
func (c *checker) cycles() {
	const (
		unvisited = iota
		onPath
		finished
	)
	type frame struct{ service, next int }
	mark := make([]int, len(c.text.Services))
	for root := range c.text.Services {
		if mark[root] != unvisited {
			continue
		}
		mark[root] = onPath
		path := []frame{{service: root}}
		for len(path) > 0 {
			top := &path[len(path)-1]
			depends := c.text.Services[top.service].DependsOn
			if top.next == len(depends) {
				mark[top.service] = finished
				path = path[:len(path)-1]
				continue
			}
			edge := top.next
			top.next++
			target, known := c.services[depends[edge]]
			switch {
			case !known || mark[target] == finished:
			case mark[target] == unvisited:
				mark[target] = onPath
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
