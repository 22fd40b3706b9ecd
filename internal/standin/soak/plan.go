package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/process"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/store"
)

// Kind is the kind of a fault.
type Kind string

// Kinds of faults.
const (
	Kill   Kind = "kill"   // SIGKILL of an instance, which is then restarted
	Stop   Kind = "stop"   // SIGTERM of an instance, which is restarted after it has exited
	Pause  Kind = "pause"  // SIGSTOP of an instance, then SIGCONT
	Hangup Kind = "hangup" // SIGHUP of an instance, which reloads its settings
	Outage Kind = "outage" // the store refuses all calls
	Silent Kind = "silent" // the store answers no call
	Lossy  Kind = "lossy"  // the store applies some appends without answering
	Slow   Kind = "slow"   // the store delays every answer
	AllOut Kind = "allout" // SIGKILL of all instances at once

	Reset    Kind = "reset"    // resets the connections of one instance with the store and its callers, and of all instances with the workers
	Delay    Kind = "delay"    // delays traffic between one instance and the store, and between all instances and the workers
	CutUp    Kind = "cutup"    // blocks traffic from one instance to the store
	CutDown  Kind = "cutdown"  // blocks traffic from the store to one instance
	Mute     Kind = "mute"     // open connections of one instance with the store, and of all with the workers, carry no more data and stay open
	CutFleet Kind = "cutfleet" // blocks traffic between all instances and the workers
)

// LosePower lets a worker lose its power. It is up again a little later, and its entry shows its new process later still.
const LosePower Kind = "power"

// Recut lets a worker lose its power, and cuts it off soon after it is up again, for longer than its leases last. There is at most one in a plan.
const Recut Kind = "recut"

// OddEntry writes an entry that no worker writes to the list of workers: under a key of its own or, for a while, under that of a worker.
const OddEntry Kind = "odd"

// Evacuate lets the operator evacuate a data centre. There is at most one in a plan, that lasts for some time after it is in force.
const Evacuate Kind = "evacuate"

// oddEntries are the values of the entries that OddEntry writes. ADDRESS stands for the address of the workers.
var oddEntries = []string{
	strings.Repeat(`{"a":`, 40_000) + `1` + strings.Repeat(`}`, 40_000),
	`{"service":"render","address":"127.0.0.1:80800","zone":"z1","state":"ready","capacity":{"cpu":64000,"mem_mb":262144,"gpu":8},"labels":["a","r1-1"]}`,
	`{"service":"render","address":"ADDRESS","zone":"z1","state":"ready","capacity":{"cpu":64000,"mem_mb":262144,"gpu":9223372036854775807},"labels":["a","r1-1"]}`,
	`{"service":"render","address":"ADDRESS","zone":"z1","state":"ready","capacity":{"cpu":` + strings.Repeat("9", 100_000) + `},"labels":["a","r1-1"]}`,
	`{"service":7}`, `null`, "\xff{",
}

// linkKinds are the faults of connections. They have a random source of their own, so that a seed still gives the same process
// and store faults as before link faults were added.
var linkKinds = []Kind{Reset, Delay, CutUp, CutDown, Mute, CutFleet}

// processAndStoreKinds are the faults of processes and of the store.
var processAndStoreKinds = []Kind{Kill, Stop, Pause, Hangup, Outage, Silent, Lossy, Slow, AllOut}

// Fault is one fault of a plan. Faults overlap when one lasts beyond the start of the next.
type Fault struct {
	At     time.Duration // time from the start of the load
	Kind   Kind
	Node   int // index of the affected instance, for faults of processes and connections
	Length time.Duration
}

// String describes the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("at %v: %s of instance %d for %v", f.At.Round(time.Millisecond), f.Kind, f.Node, f.Length.Round(time.Millisecond))
}

// Timings of a plan.
const (
	faultFreeTail    = 3 * time.Second // no fault is planned to start in this last part of the load, so that most faults have ended by its end
	maxFaultInterval = 3 * time.Second // longest interval between two faults
	minFaultLength   = 300 * time.Millisecond
	maxFaultLength   = 5 * time.Second
	restartDelay     = 400 * time.Millisecond // time between the kill and the restart of an instance
	hangupWait       = 100 * time.Millisecond // within which a process has ended that had no handler for SIGHUP
	recutOff         = 900 * time.Millisecond // for which a worker is without power, so that the last order of a start reaches its next process
	recutPause       = 200 * time.Millisecond // for which it can be reached then
	recutLength      = longestLease + 2*time.Second
	linkDelay        = 120 * time.Millisecond // delay of each forwarded chunk; well below the timeouts of calls
)

// Plan draws the faults of a run from a seed, in the order of their start.
func Plan(seed uint64, length time.Duration, instances int) []Fault {
	plan := drawFaults(rand.New(rand.NewPCG(seed, 2)), processAndStoreKinds, length, instances)
	plan = append(plan, drawFaults(rand.New(rand.NewPCG(seed, 3)), linkKinds, length, instances)...)
	plan = append(plan, drawFaults(rand.New(rand.NewPCG(seed, 4)), []Kind{OddEntry}, length, instances)...)
	plan = append(plan, drawFaults(rand.New(rand.NewPCG(seed, 5)), []Kind{LosePower}, length, instances)...)
	if recuts := drawFaults(rand.New(rand.NewPCG(seed, 7)), []Kind{Recut}, length-recutLength, instances); len(recuts) > 0 {
		plan = append(plan, recuts[len(recuts)-1])
	}
	random := rand.New(rand.NewPCG(seed, 6))
	evacuation := Fault{At: time.Second + time.Duration(random.Int64N(int64(2*time.Second))), Kind: Evacuate, Node: random.IntN(instances), Length: evacuateTime + 3*time.Second}
	if evacuation.At+evacuation.Length < length-faultFreeTail {
		plan = append(plan, evacuation)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

func drawFaults(random *rand.Rand, kinds []Kind, length time.Duration, instances int) []Fault {
	var plan []Fault
	for at := time.Second; at < length-faultFreeTail; at += time.Duration(random.Int64N(int64(maxFaultInterval))) {
		plan = append(plan, Fault{
			At: at, Kind: kinds[random.IntN(len(kinds))], Node: random.IntN(instances),
			Length: minFaultLength + time.Duration(random.Int64N(int64(maxFaultLength-minFaultLength))),
		})
	}
	return plan
}

// injectFaults injects the faults of a plan. Process faults run one at a time; store and connection faults stay active while
// later ones start.
func (r *run) injectFaults(ctx context.Context, plan []Fault) error {
	started := time.Now()
	storeUntil := time.Time{}
	for _, f := range plan {
		r.sleepUntil(started.Add(f.At))
		r.noteFault(f, time.Now())
		if !storeUntil.IsZero() && time.Now().After(storeUntil) {
			if err := r.setStoreFaults(ctx, r.options.Violations.Store); err != nil {
				return err
			}
			storeUntil = time.Time{}
		}
		if faults, isStoreFault := storeFaults(f.Kind); isStoreFault {
			if err := r.setStoreFaults(ctx, faults); err != nil {
				return err
			}
			storeUntil = time.Now().Add(f.Length)
			continue
		}
		if r.injectLinkFault(f) {
			continue
		}
		inject, isWorkerFault := map[Kind]func(context.Context, Fault) error{OddEntry: r.injectOddEntry, LosePower: r.losePower, Recut: r.recut, Evacuate: r.evacuate}[f.Kind]
		if isWorkerFault {
			if err := inject(ctx, f); err != nil {
				return err
			}
			continue
		}
		if err := r.injectProcessFault(f); err != nil {
			return err
		}
	}
	r.sleepUntil(storeUntil)
	for i := range workerCount {
		if err := r.putWorker(ctx, i); err != nil {
			return err
		}
	}
	if err := r.setStoreFaults(ctx, store.Faults{}); err != nil {
		return err
	}
	r.extendFaults(time.Now()) // the end of the last fault of a process or of the store
	return nil
}

// noteFault keeps until when a fault that begins now lasts, unless injectFaults waits for its end.
func (r *run) noteFault(f Fault, now time.Time) {
	switch f.Kind {
	case Delay, CutUp, CutDown, CutFleet, OddEntry, Evacuate:
		r.extendFaults(now.Add(f.Length))
	case LosePower: // until its entry shows its new process
		r.noteLoss(now, now.Add(f.Length/2))
	case Recut:
		r.noteLoss(now, now.Add(recutOff+max(recutPause+recutLength, f.Length)))
	}
}

func (r *run) extendFaults(end time.Time) {
	if end.After(r.faultsEnd) {
		r.faultsEnd = end
	}
}

// injectOddEntry writes an odd entry. A worker whose key it took writes its own entry again after the fault's length.
func (r *run) injectOddEntry(ctx context.Context, f Fault) error {
	value := strings.ReplaceAll(oddEntries[int(f.Length)%len(oddEntries)], "ADDRESS", r.workerProxies[0].address())
	worker := int(f.At) % (2 * workerCount)
	if worker >= workerCount {
		return r.put(ctx, workersTopic, fmt.Sprintf("odd%d", worker), value)
	}
	if err := r.put(ctx, workersTopic, fmt.Sprintf("w%d", worker), value); err != nil {
		return err
	}
	time.AfterFunc(f.Length, func() {
		if err := r.putWorker(ctx, worker); err != nil {
			fmt.Fprintf(r.options.Progress, "worker %d cannot write its entry: %v\n", worker, err)
		}
	})
	return nil
}

// losePower lets a worker lose its power for a tenth of the fault's length. Its entry follows after half of that length.
func (r *run) losePower(ctx context.Context, f Fault) error {
	return r.restartWorker(ctx, int(f.At)%workerCount, f.Length/10, f.Length/2)
}

// recut lets a worker lose its power, and cuts it off before most heartbeats to its earlier process have been given up.
func (r *run) recut(ctx context.Context, f Fault) error {
	worker := int(f.At) % workerCount
	if err := r.restartWorker(ctx, worker, recutOff, recutOff+f.Length); err != nil {
		return err
	}
	time.AfterFunc(recutOff+recutPause, func() { r.workerProxies[worker].drop(recutLength) })
	return nil
}

// restartWorker lets a worker lose its power for a time. Its entry shows the new process some time after the loss.
func (r *run) restartWorker(ctx context.Context, worker int, off, listed time.Duration) error {
	answer, err := r.post(ctx, fmt.Sprintf("http://%s/control/power?worker=w%d&off_ms=%d", r.workersAddress, worker, off.Milliseconds()), nil)
	if err != nil {
		return err
	}
	var process struct {
		Born int64 `json:"born"`
	}
	if err := json.Unmarshal(answer, &process); err != nil {
		return err
	}
	r.mu.Lock()
	r.born[worker] = process.Born
	r.mu.Unlock()
	time.AfterFunc(listed, func() {
		if err := r.putWorker(ctx, worker); err != nil {
			fmt.Fprintf(r.options.Progress, "worker %d cannot write its entry: %v\n", worker, err)
		}
	})
	return nil
}

// evacuate evacuates a data centre for the fault's length. From evacuateTime after the acknowledgement on, starts there are forbidden.
func (r *run) evacuate(ctx context.Context, f Fault) error {
	dataCentre := dataCentreOf(f.Node % workerCount)
	if !r.options.Violations.DropEvacuation {
		if err := r.put(ctx, operatorTopic, "evacuate/"+dataCentre, "{}"); err != nil {
			return err
		}
	}
	if err := r.forbidStarts(ctx, dataCentre, fmt.Sprint(time.Now().Add(evacuateTime).UnixMilli())); err != nil {
		return err
	}
	time.AfterFunc(f.Length, func() {
		if err := r.forbidStarts(ctx, dataCentre, ""); err != nil {
			fmt.Fprintf(r.options.Progress, "%s stays evacuated: %v\n", dataCentre, err)
		}
		if err := r.put(ctx, operatorTopic, "evacuate/"+dataCentre, ""); err != nil {
			fmt.Fprintf(r.options.Progress, "%s stays evacuated: %v\n", dataCentre, err)
		}
	})
	return nil
}

// forbidStarts forbids starts in a data centre from a time in Unix milliseconds on, or allows them if it is empty.
func (r *run) forbidStarts(ctx context.Context, dataCentre, from string) error {
	for i := range workerCount {
		if dataCentreOf(i) == dataCentre {
			if err := r.postRepeatedly(ctx, fmt.Sprintf("http://%s/control/forbid?worker=w%d&from=%s", r.workersAddress, i, from), nil); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *run) sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// storeFaults returns the store's settings for a kind of fault, and whether the kind is a fault of the store.
func storeFaults(k Kind) (f store.Faults, isStoreFault bool) {
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

// injectLinkFault starts a connection fault, which ends by itself. It returns false if the fault is of another kind.
func (r *run) injectLinkFault(f Fault) bool {
	n := r.nodes[f.Node%len(r.nodes)]
	switch f.Kind {
	case Reset:
		n.storeProxy.resetAll()
		n.callerProxy.resetAll()
		r.eachWorker((*proxy).resetAll)
	case Delay:
		n.storeProxy.delayFor(linkDelay, f.Length)
		r.eachWorker(func(p *proxy) { p.delayFor(linkDelay, f.Length) })
	case CutUp:
		n.storeProxy.block(f.Length, toServer)
	case CutDown:
		n.storeProxy.block(f.Length, toClient)
	case Mute:
		n.storeProxy.mute()
		r.eachWorker((*proxy).mute)
	case CutFleet:
		r.eachWorker(func(p *proxy) { p.block(f.Length, toServer, toClient) })
	default:
		return false
	}
	return true
}

// injectProcessFault injects a process fault and returns when the affected processes run again.
func (r *run) injectProcessFault(f Fault) error {
	n := r.nodes[f.Node%len(r.nodes)]
	switch f.Kind {
	case Kill:
		n.process.Kill()
		time.Sleep(restartDelay)
		return r.startNode(n)
	case Stop:
		if err := n.process.Stop(); err != nil && !process.Terminated(err) {
			return err // it timed out or failed; an instance that has not installed its signal handler yet dies of SIGTERM
		}
		return r.startNode(n)
	case Pause:
		if err := n.process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(f.Length)
		return n.process.Signal(syscall.SIGCONT)
	case Hangup:
		if err := n.process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		select {
		case <-n.process.Done(): // the signal came before its handler was installed; the platform starts such a process again
			return r.startNode(n)
		case <-time.After(hangupWait):
		}
	case AllOut:
		for _, n := range r.nodes {
			n.process.Kill()
		}
		time.Sleep(restartDelay)
		for _, n := range r.nodes {
			if err := r.startNode(n); err != nil {
				return err
			}
		}
	}
	return nil
}
