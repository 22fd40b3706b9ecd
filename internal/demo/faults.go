package demo

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Runtimes of the gangs, and the pace of a rolling replacement.
const (
	gangRunTime        = 1500 * time.Millisecond
	gangPace           = 300 * time.Millisecond // between two submissions
	rollingGangRunTime = 8 * time.Second
	rollingGangPace    = 1500 * time.Millisecond // spreads the gangs over all replacements
	replacementReady   = 10 * time.Second
)

func (r *run) gangRunTime() time.Duration {
	if r.options.Rolling {
		return rollingGangRunTime
	}
	return gangRunTime
}

func (r *run) gangPace() time.Duration {
	if r.options.Rolling {
		return rollingGangPace
	}
	return gangPace
}

// injectFaults does to the entry instances what the options ask for while the load runs.
func (r *run) injectFaults(ctx context.Context) error {
	if r.options.Rolling {
		return r.replaceAll(ctx)
	}
	return r.killAndDrain(ctx)
}

// killAndDrain kills one entry instance and drains another, in different data centres when there are several.
func (r *run) killAndDrain(ctx context.Context) error {
	pause(ctx, killAfter)
	victim := r.fleet.entries[1]
	victim.killed.Store(true)
	r.processes[victim.id].kill()
	r.say("killed %s with SIGKILL", victim.id)
	pause(ctx, listLag)
	if err := r.fleet.deleteInstance(ctx, r.client, victim.id); err != nil {
		return err
	}
	pause(ctx, drainAfter-killAfter-listLag)
	return r.drain(ctx, r.fleet.entries[2])
}

// drain stops one entry instance as the platform does: it is shown as leaving, asked to end, and taken off the list.
func (r *run) drain(ctx context.Context, e *entry) error {
	if err := r.fleet.putInstance(ctx, r.client, r.fleet.leaving(e.id)); err != nil {
		return err
	}
	began := time.Now()
	if err := r.processes[e.id].stop(); err != nil {
		r.verdict.problem("draining %s: %v", e.id, err)
	}
	r.say("drained %s in %.1f s", e.id, time.Since(began).Seconds())
	return r.fleet.deleteInstance(ctx, r.client, e.id)
}

// replaceAll replaces every entry instance, one after the other: the replacement has a new name and new addresses, and the
// old instance is drained once the replacement is ready.
func (r *run) replaceAll(ctx context.Context) error {
	pause(ctx, killAfter)
	originals := r.balancer.all()
	for i, old := range originals {
		replacement, err := r.addEntry(ctx, len(originals)+i, old.dataCentre)
		if err != nil {
			return err
		}
		ready, cancel := context.WithTimeout(ctx, replacementReady)
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

// addEntry starts one more entry instance in a data centre.
func (r *run) addEntry(ctx context.Context, index int, dataCentre string) (*entry, error) {
	addresses, err := freeAddresses(2)
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
		if err := r.startHost(r.fleet.entryHosts[len(r.fleet.entryHosts)-1]); err != nil {
			return nil, err
		}
		if err := r.fleet.putInstance(ctx, r.client, r.fleet.instances[len(r.fleet.instances)-1]); err != nil {
			return nil, err
		}
		e := r.fleet.entries[len(r.fleet.entries)-1]
		r.balancer.add(r.background, e)
		return e, nil
	}
	return nil, errors.New("no such data centre: " + dataCentre)
}
