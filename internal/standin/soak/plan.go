package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/process"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/store"
)

// Kind of a fault.
type Kind string

// Kinds of faults.
const (
	Kill   Kind = "kill"   // SIGKILL of an instance, which starts again
	Stop   Kind = "stop"   // SIGTERM of an instance, which starts again when it has ended
	Pause  Kind = "pause"  // SIGSTOP and SIGCONT
	Hangup Kind = "hangup" // SIGHUP
	Outage Kind = "outage" // the store refuses all calls
	Silent Kind = "silent" // the store answers nothing
	Lossy  Kind = "lossy"  // the store loses answers
	Slow   Kind = "slow"   // the store answers late
	AllOut Kind = "allout" // SIGKILL of all instances at once

	Reset    Kind = "reset"    // connections of an instance with store and callers, and of all with the workers
	Delay    Kind = "delay"    // what passes between an instance and the store, and between instances and workers
	CutUp    Kind = "cutup"    // nothing from an instance reaches the store
	CutDown  Kind = "cutdown"  // nothing from the store reaches an instance
	Mute     Kind = "mute"     // open connections of an instance with the store, and of all with the workers, go silent for good
	CutFleet Kind = "cutfleet" // nothing passes between instances and workers
)

// linkKinds disturb connections; they are drawn apart from the others, so that plans of earlier seeds stay parts of theirs.
var linkKinds = []Kind{Reset, Delay, CutUp, CutDown, Mute, CutFleet}

var kinds = []Kind{Kill, Stop, Pause, Hangup, Outage, Silent, Lossy, Slow, AllOut}

// Fault is one disturbance. Faults overlap when one lasts beyond the next one's beginning.
type Fault struct {
	At     time.Duration // from the start of the load
	Kind   Kind
	Node   int // instance, for faults of processes
	Length time.Duration
}

// String describes the fault.
func (f Fault) String() string {
	return fmt.Sprintf("at %v: %s of instance %d for %v", f.At.Round(time.Millisecond), f.Kind, f.Node, f.Length.Round(time.Millisecond))
}

// Bounds of a plan.
const (
	quietEnd    = 3 * time.Second // of a run, so that the last fault is over before the load is
	pauseMost   = 3 * time.Second // between two faults
	lengthLeast = 300 * time.Millisecond
	lengthMost  = 5 * time.Second
	downTime    = 400 * time.Millisecond // before a killed instance starts again
	linkDelay   = 120 * time.Millisecond // of each chunk, well below the time-outs of calls
)

// Plan draws faults from a seed.
func Plan(seed uint64, length time.Duration, instances int) []Fault {
	plan := draw(rand.New(rand.NewPCG(seed, 2)), kinds, length, instances)
	plan = append(plan, draw(rand.New(rand.NewPCG(seed, 3)), linkKinds, length, instances)...)
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

func draw(random *rand.Rand, kinds []Kind, length time.Duration, instances int) []Fault {
	var plan []Fault
	for at := time.Second; at < length-quietEnd; at += time.Duration(random.Int64N(int64(pauseMost))) {
		plan = append(plan, Fault{
			At: at, Kind: kinds[random.IntN(len(kinds))], Node: random.IntN(instances),
			Length: lengthLeast + time.Duration(random.Int64N(int64(lengthMost-lengthLeast))),
		})
	}
	return plan
}

// inject carries a plan out. Faults of processes are carried out one at a time; those of the store last while the next begin.
func (r *run) inject(ctx context.Context, plan []Fault) error {
	begun := time.Now()
	storeUntil := time.Time{}
	for _, f := range plan {
		r.sleepUntil(begun.Add(f.At))
		if !storeUntil.IsZero() && time.Now().After(storeUntil) {
			if err := r.setFaults(ctx, r.o.Sabotage.Store); err != nil {
				return err
			}
			storeUntil = time.Time{}
		}
		if faults, ofStore := storeFaults(f.Kind); ofStore {
			if err := r.setFaults(ctx, faults); err != nil {
				return err
			}
			storeUntil = time.Now().Add(f.Length)
			continue
		}
		if r.disturbLinks(f) {
			continue
		}
		if err := r.disturb(f); err != nil {
			return err
		}
	}
	r.sleepUntil(storeUntil)
	return r.setFaults(ctx, store.Faults{})
}

func (r *run) sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

func storeFaults(k Kind) (f store.Faults, ofStore bool) {
	switch k {
	case Outage:
		return store.Faults{Outage: true}, true
	case Silent:
		return store.Faults{Silent: true}, true
	case Lossy:
		return store.Faults{LoseAnswers: 0.4}, true
	case Slow:
		return store.Faults{SlowMS: 150}, true
	}
	return store.Faults{}, false
}

// disturbLinks begins a fault of connections, which ends by itself, and reports whether it is one.
func (r *run) disturbLinks(f Fault) bool {
	n := r.nodes[f.Node%len(r.nodes)]
	switch f.Kind {
	case Reset:
		n.storeLink.resetAll()
		n.front.resetAll()
		r.fleetLink.resetAll()
	case Delay:
		n.storeLink.slow(linkDelay, f.Length)
		r.fleetLink.slow(linkDelay, f.Length)
	case CutUp:
		n.storeLink.hold(f.Length, toServer)
	case CutDown:
		n.storeLink.hold(f.Length, toDialler)
	case Mute:
		n.storeLink.mute()
		r.fleetLink.mute()
	case CutFleet:
		r.fleetLink.hold(f.Length, toServer, toDialler)
	default:
		return false
	}
	return true
}

// disturb carries out a fault of processes.
func (r *run) disturb(f Fault) error {
	n := r.nodes[f.Node%len(r.nodes)]
	switch f.Kind {
	case Kill:
		n.process.Kill()
		time.Sleep(downTime)
		return r.startNode(n)
	case Stop:
		if err := n.process.Stop(); err != nil && !process.Terminated(err) {
			return err // it took too long or failed; one that was just starting may end by the signal itself
		}
		return r.startNode(n)
	case Pause:
		if err := n.process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(f.Length)
		return n.process.Signal(syscall.SIGCONT)
	case Hangup:
		return n.process.Signal(syscall.SIGHUP)
	case AllOut:
		for _, n := range r.nodes {
			n.process.Kill()
		}
		time.Sleep(downTime)
		for _, n := range r.nodes {
			if err := r.startNode(n); err != nil {
				return err
			}
		}
	}
	return nil
}
