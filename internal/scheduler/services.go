package scheduler

import (
	"fmt"
	"slices"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// syncServices keeps one job for each service task that the specification declares in this data centre, and updates which
// services are down.
func (t *term) syncServices(now time.Time) {
	wanted := map[structs.JobID]bool{}
	for i := range t.text.Services {
		service := &t.text.Services[i]
		for k := range service.Tasks {
			t.syncTask(service, &service.Tasks[k], wanted, now)
		}
	}
	for key := range t.serviceJobs {
		j := t.jobs[key]
		if j == nil {
			delete(t.serviceJobs, key)
			continue
		}
		if !wanted[key] && !j.removed {
			j.removed = true
			t.reconciling[key] = true
		}
	}
	t.updateDownServices(now)
}

// updateDownServices updates which services are down. When their number has changed, tasks of dependent services may start
// or must wait.
func (t *term) updateDownServices(now time.Time) {
	down := t.findDownServices(now)
	if len(down) != len(t.downServices) {
		t.placementDue = true
	}
	t.downServices = down
}

// syncTask adds the missing jobs of one declared service task and adds all its jobs to wanted.
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
		t.serviceJobs[key] = true
		t.enqueue(j)
	}
}

// serviceTaskID is the id of the job for a service's task. It cannot collide with the job id of a customer, which contains
// no slash.
func serviceTaskID(service structs.ServiceName, task string, number int) structs.JobID {
	return structs.JobID(fmt.Sprintf("service/%s/%s/%d", service, task, number))
}

// findDownServices returns the services that are down in this data centre, each with the service whose tasks are missing:
// itself or one that it depends on.
func (t *term) findDownServices(now time.Time) map[structs.ServiceName]structs.ServiceName {
	missing := map[structs.ServiceName]bool{}
	for key := range t.serviceJobs {
		if j := t.jobs[key]; j != nil && !t.taskUp(j, now) {
			missing[j.info.Service] = true
		}
	}
	down := map[structs.ServiceName]structs.ServiceName{}
	for range t.text.Services { // dependencies have no cycles, so this many rounds reach all services
		before := len(down)
		for i := range t.text.Services {
			t.markDownService(&t.text.Services[i], missing, down)
		}
		if len(down) == before {
			break
		}
	}
	return down
}

// taskUp reports whether a service's task runs. A task on a worker that is out of reach counts as running for half a task
// lease, which is longer than a change of its rack owner takes.
func (t *term) taskUp(j *job, now time.Time) bool {
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

// markDownService adds a service to down when its own tasks are missing or a service that it depends on is down.
func (t *term) markDownService(s *spec.Service, missing map[structs.ServiceName]bool, down map[structs.ServiceName]structs.ServiceName) {
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

// dependencyDown returns why a service's task must wait for a service that its own service depends on, or "" when it need
// not.
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
			if cause, isDown := t.downServices[dependency]; isDown {
				return fmt.Sprintf("services.%s.depends_on: %s is down because tasks of %s do not run", s.Name, dependency, cause)
			}
		}
	}
	return ""
}
