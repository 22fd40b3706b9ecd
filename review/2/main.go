// Command 2 shows case 2 of the review: after a burst of jobs on a queue with advice, no job of the queue starts any more, although all
// workers are idle, since each answer of the advice service counts as expired when it comes. With TROUBLE=0 the usual number of jobs comes.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"dogwoodnotch.example/dogwoodnotch/review/harness"
)

// The deployment and its jobs, each with one task that takes a whole worker.
const (
	nodeCount   = 3
	workerCount = 8
	usualJobs   = 10
	burstJobs   = 26 // 2.6 times as many
	perRack     = 8
	takesMS     = 1500
	settle      = 5 * time.Second
	finish      = 14 * time.Second // finish_s, from the end of the traffic
	idleFor     = 3 * time.Second  // "for 3 s"
	lastLook    = 75 * time.Second // from the end of the traffic
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() { os.Exit(run()) }

func run() int {
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	defer cancel()
	d, err := harness.Start(ctx, "review/2/record.txt", nodeCount, 0)
	defer d.Stop()
	if err != nil {
		fmt.Println("the case could not run:", err)
		return couldNot
	}
	d.Queue = harness.AdviceQueue
	result, err := play(ctx, d)
	if err != nil {
		fmt.Println("the case could not run:", err)
	}
	return result
}

func play(ctx context.Context, d *harness.Deployment) (int, error) {
	var workers []*harness.Worker
	for i := range workerCount {
		w, err := d.AddWorker(ctx, fmt.Sprintf("i-%04d", i), "a", fmt.Sprintf("r1-%d", 1+i/perRack))
		if err != nil {
			return couldNot, err
		}
		workers = append(workers, w)
	}
	time.Sleep(settle)
	jobs := usualJobs
	if os.Getenv("TROUBLE") != "0" {
		jobs = burstJobs
	}
	for i := range jobs {
		body := fmt.Sprintf(`{"spec":"{\"takes_ms\":%d}","phases":[{"count":1,"cpu":32000,"mem_mb":131072,"gpu":8,"estimate_ms":%d}]}`, takesMS, takesMS)
		if status, _ := d.Call(ctx, d.Nodes[i%nodeCount], http.MethodPost, jobID(i), body); status != http.StatusOK {
			return couldNot, fmt.Errorf("job %d was not accepted: %d", i, status)
		}
	}
	ended := time.Now()
	result := held
	idleSince := time.Time{}
	for time.Since(ended) < lastLook && result == held {
		time.Sleep(20 * time.Millisecond)
		waiting, running := count(workers, jobs)
		if waiting == 0 && running == 0 {
			break
		}
		if running > 0 || time.Since(ended) < finish {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		if time.Since(idleSince) >= idleFor {
			d.Note("LOST: for %v nothing has run on any of the %d workers, and %d jobs wait, %d s after the end of the traffic",
				idleFor, workerCount, waiting, int(time.Since(ended).Seconds()))
			result = broken
		}
	}
	if result == broken { // look on, to see whether it ends
		time.Sleep(time.Until(ended.Add(lastLook)))
		waiting, _ := count(workers, jobs)
		d.Note("%d s after the end of the traffic %d jobs have not begun", int(lastLook.Seconds()), waiting)
	}
	done := 0
	for i := range jobs {
		if _, answer := d.Call(ctx, d.Nodes[0], http.MethodGet, jobID(i), ""); strings.Contains(answer, "completed") {
			done++
		}
	}
	d.Note("%d of %d jobs are shown as completed", done, jobs)
	return result, nil
}

func jobID(i int) string { return fmt.Sprintf("%016x", 0xf00+i) }

// count returns how many of the jobs have not begun and how many run.
func count(workers []*harness.Worker, jobs int) (waiting, running int) {
	for i := range jobs {
		begun := false
		for _, w := range workers {
			if a, ok := w.Latest(jobID(i)); ok {
				begun = true
				if a.Over.IsZero() {
					running++
				}
			}
		}
		if !begun {
			waiting++
		}
	}
	return waiting, running
}
