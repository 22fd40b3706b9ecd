package scheduler

import (
	"fmt"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// syncServices keeps one job for each task that the specification declares here, and notes which services are up.
func (t *term) syncServices(now time.Time) {
	wanted := map[structs.JobID]bool{}
	for i := range t.text.Services {
		service := &t.text.Services[i]
		for k := range service.Tasks {
			t.syncTask(service, &service.Tasks[k], wanted, now)
		}
	}
	for key := range t.services {
		j := t.jobs[key]
		if j == nil {
			delete(t.services, key)
			continue
		}
		if !wanted[key] && !j.removed {
			j.removed = true
			t.active[key] = true
		}
	}
	t.refreshDown(now)
}

// refreshDown notes which services are up. Their dependants may start, or must wait, when that has changed.
func (t *term) refreshDown(now time.Time) {
	down := t.findDown(now)
	if len(down) != len(t.down) {
		t.replace = true
	}
	t.down = down
}

func (t *term) syncTask(service *spec.Service, task *spec.ServiceTask, wanted map[structs.JobID]bool, now time.Time) {
	if !slices.Contains(task.DataCentres, t.dc) {
		return
	}
	for number := range task.Count {
		key := Key(task.Customer, serviceTaskID(service.Name, task.Name, number))
		wanted[key] = true
		if t.jobs[key] != nil {
			continue
		}
		info := structs.Job{
			ID: bareID(task.Customer, key), Customer: task.Customer, DataCentre: t.dc, Accelerators: task.Accelerators,
			Urgency: task.Urgency, Service: service.Name, SubmittedAt: now,
		}
		j := newJob(key, info, fromService, now)
		t.jobs[key] = j
		t.services[key] = true
		t.enqueue(j)
	}
}

// serviceTaskID names the job of a service's task. A job id of a customer cannot contain a slash.
func serviceTaskID(service structs.ServiceName, task string, number int) structs.JobID {
	return structs.JobID(fmt.Sprintf("service/%s/%s/%d", service, task, number))
}

// findDown returns the services that are down here, with the service whose tasks are missing.
func (t *term) findDown(now time.Time) map[structs.ServiceName]structs.ServiceName {
	missing := map[structs.ServiceName]bool{}
	for key := range t.services {
		if j := t.jobs[key]; j != nil && !t.serves(j, now) {
			missing[j.info.Service] = true
		}
	}
	down := map[structs.ServiceName]structs.ServiceName{}
	for range t.text.Services { // dependencies have no cycles, so this many rounds reach everything
		before := len(down)
		for i := range t.text.Services {
			t.markDown(&t.text.Services[i], missing, down)
		}
		if len(down) == before {
			break
		}
	}
	return down
}

// serves reports whether a service's task runs. A task at a worker that is out of reach counts for half a task lease,
// in which a change of its rack owner is over.
func (t *term) serves(j *job, now time.Time) bool {
	if j.state != structs.JobRunning {
		return false
	}
	for _, m := range j.members {
		w := t.worker(m.task.Worker)
		if !w.reachable && now.Sub(w.lostAt) > t.config.Timing.TaskLease/2 {
			return false
		}
	}
	return true
}

func (t *term) markDown(s *spec.Service, missing map[structs.ServiceName]bool, down map[structs.ServiceName]structs.ServiceName) {
	if missing[s.Name] {
		down[s.Name] = s.Name
		return
	}
	for _, dependency := range s.DependsOn {
		if cause, isDown := down[dependency]; isDown {
			down[s.Name] = cause
			return
		}
	}
}

// dependencyDown tells why a service's task must wait for the services that its service depends on, "" when they are up.
func (t *term) dependencyDown(j *job) string {
	if j.origin != fromService {
		return ""
	}
	for i := range t.text.Services {
		s := &t.text.Services[i]
		if s.Name != j.info.Service {
			continue
		}
		for _, dependency := range s.DependsOn {
			if cause, isDown := t.down[dependency]; isDown {
				return fmt.Sprintf("services.%s.depends_on: %s is down because tasks of %s do not run", s.Name, dependency, cause)
			}
		}
	}
	return ""
}
