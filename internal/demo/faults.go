package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/process"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/instancelist"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/logservice"
)

// Fault is a fault that is injected while the load runs. Several faults overlap.
type Fault string

// Faults that a demonstration can inject.
const (
	FaultKill        Fault = "kill"         // one entry instance is killed with SIGKILL
	FaultDrain       Fault = "drain"        // one entry instance, not the killed one, is drained
	FaultRolling     Fault = "rolling"      // all entry instances are replaced, one after the other
	FaultFreeze      Fault = "freeze"       // one entry instance is paused for longer than every lease
	FaultLogOutage   Fault = "log-outage"   // the log fails every call
	FaultLostAnswers Fault = "lost-answers" // the log loses the answers to half of the appends that it applies
	FaultListOutage  Fault = "list-outage"  // the instance list fails every call
	FaultListLag     Fault = "list-lag"     // the instance list lags by 3 s
)

// DefaultFaults are the faults of make demo.
var DefaultFaults = []Fault{FaultKill, FaultDrain}

// Timings of the faults and of the gangs.
const (
	firstFaultAfter         = 2 * time.Second  // time from the start of the load to the first fault
	drainAfter              = 4 * time.Second  // time from the start of the load to the drain
	freezeTime              = 17 * time.Second // length of the pause; longer than a task lease
	platformFaultTime       = 6 * time.Second  // length of a fault of the log or the instance list
	listLagMS               = 3000
	lostAnswers             = 0.5 // probability that an answer is lost
	gangRunTime             = 1500 * time.Millisecond
	gangPace                = 300 * time.Millisecond // interval between two submissions of gangs
	rollingGangRunTime      = 8 * time.Second
	rollingGangPace         = 1500 * time.Millisecond // interval that spreads the submissions over the whole rolling replacement
	replacementReadyTimeout = 10 * time.Second
)

// hasFault reports whether a fault is among the options.
func (r *run) hasFault(f Fault) bool { return slices.Contains(r.options.Faults, f) }

func (r *run) gangRunTime() time.Duration {
	if r.hasFault(FaultRolling) {
		return rollingGangRunTime
	}
	return gangRunTime
}

func (r *run) gangPace() time.Duration {
	if r.hasFault(FaultRolling) {
		return rollingGangPace
	}
	return gangPace
}

// injectFaults injects the faults of the options concurrently while the load runs.
func (r *run) injectFaults(ctx context.Context) error {
	faults := map[Fault]func(context.Context) error{
		FaultKill:        r.killOne,
		FaultDrain:       r.drainOne,
		FaultRolling:     r.replaceAll,
		FaultFreeze:      r.freezeOne,
		FaultLogOutage:   r.logFault(logservice.Faults{Outage: true}),
		FaultLostAnswers: r.logFault(logservice.Faults{LoseAnswers: lostAnswers}),
		FaultListOutage:  r.listFault(instancelist.Faults{Outage: true}),
		FaultListLag:     r.listFault(instancelist.Faults{LagMS: listLagMS}),
	}
	errs := make([]error, len(r.options.Faults))
	var group sync.WaitGroup
	for i, f := range r.options.Faults {
		inject := faults[f]
		if inject == nil {
			return fmt.Errorf("unknown fault %q", f)
		}
		group.Go(func() { errs[i] = inject(ctx) })
	}
	group.Wait()
	return errors.Join(errs...)
}

func (r *run) killOne(ctx context.Context) error {
	pause(ctx, firstFaultAfter)
	victim := r.fleet.entries[1]
	victim.killed.Store(true)
	r.processes[victim.id].Kill()
	r.progressf("killed %s with SIGKILL", victim.id)
	pause(ctx, listRemovalDelay)
	return r.fleet.deleteInstance(ctx, r.client, victim.id)
}

func (r *run) drainOne(ctx context.Context) error {
	pause(ctx, drainAfter)
	return r.drain(ctx, r.fleet.entries[2])
}

// freezeOne pauses an entry instance with SIGSTOP and resumes it later. It stays on the instance list all the time.
func (r *run) freezeOne(ctx context.Context) error {
	pause(ctx, firstFaultAfter)
	victim := r.fleet.entries[0]
	child := r.processes[victim.id]
	if err := child.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	r.progressf("froze %s for %v", victim.id, freezeTime)
	pause(ctx, freezeTime)
	if err := child.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	pause(ctx, firstFaultAfter) // keeps the load running after the resumption
	return nil
}

func (r *run) logFault(f logservice.Faults) func(context.Context) error {
	return func(ctx context.Context) error {
		return r.platformFault(ctx, "/control/log", f, logservice.Faults{})
	}
}

func (r *run) listFault(f instancelist.Faults) func(context.Context) error {
	return func(ctx context.Context) error {
		return r.platformFault(ctx, "/control/list", f, instancelist.Faults{})
	}
}

// platformFault enables a fault of the platform's stand-in for a while.
func (r *run) platformFault(ctx context.Context, path string, on, off any) error {
	pause(ctx, firstFaultAfter)
	if err := r.control(ctx, r.fleet.platformAddress, path, on); err != nil {
		return err
	}
	r.progressf("set %s to %+v for %v", path, on, platformFaultTime)
	pause(ctx, platformFaultTime)
	return r.control(ctx, r.fleet.platformAddress, path, off)
}

// control posts a change of behaviour to the stand-in at an address.
func (r *run) control(ctx context.Context, address, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s%s answered status %d", address, path, response.StatusCode)
	}
	return nil
}

// drain stops an entry instance as the platform does: it is listed as leaving, sent SIGTERM, and removed from the list when it
// has exited.
func (r *run) drain(ctx context.Context, e *entry) error {
	if err := r.fleet.putInstance(ctx, r.client, r.fleet.leaving(e.id)); err != nil {
		return err
	}
	started := time.Now()
	if err := r.processes[e.id].Stop(); err != nil {
		r.verdict.addProblem("draining %s: %v", e.id, err)
	}
	r.progressf("drained %s in %.1f s", e.id, time.Since(started).Seconds())
	return r.fleet.deleteInstance(ctx, r.client, e.id)
}

// replaceAll replaces every entry instance, one after the other. The replacement has a new name and new addresses, and the old
// instance is drained once the replacement is ready.
func (r *run) replaceAll(ctx context.Context) error {
	pause(ctx, firstFaultAfter)
	originals := r.balancer.all()
	for i, old := range originals {
		replacement, err := r.addEntry(ctx, len(originals)+i, old.dataCentre)
		if err != nil {
			return err
		}
		ready, cancel := context.WithTimeout(ctx, replacementReadyTimeout)
		err = r.balancer.waitReady(ready, replacement)
		cancel()
		if err != nil {
			return fmt.Errorf("%s, the replacement of %s, did not become ready: %w", replacement.id, old.id, err)
		}
		if err := r.drain(ctx, old); err != nil {
			return err
		}
	}
	return nil
}

// addEntry starts an additional entry instance in a data centre.
func (r *run) addEntry(ctx context.Context, index int, dataCentre string) (*entry, error) {
	addresses, err := process.FreeAddresses(2)
	if err != nil {
		return nil, err
	}
	for _, dc := range r.text.DataCentres {
		if string(dc.Name) != dataCentre {
			continue
		}
		if err := r.fleet.planEntry(r.options.Daemon, dc, index, addresses[0], addresses[1]); err != nil {
			return nil, err
		}
		if err := r.startProcess(r.fleet.entryProcesses[len(r.fleet.entryProcesses)-1]); err != nil {
			return nil, err
		}
		if err := r.fleet.putInstance(ctx, r.client, r.fleet.instances[len(r.fleet.instances)-1]); err != nil {
			return nil, err
		}
		e := r.fleet.entries[len(r.fleet.entries)-1]
		r.balancer.add(r.background, e)
		return e, nil
	}
	return nil, errors.New("unknown data centre: " + dataCentre)
}
