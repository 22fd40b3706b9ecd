package scheduler

import (
	"container/heap"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// deadline is a time at which a job needs attention.
type deadline struct {
	at    time.Time
	key   structs.JobID
	index int // position in the heap
}

// deadlineHeap implements heap.Interface, with the earliest deadline first.
type deadlineHeap []*deadline

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(a, b int) bool { return h[a].at.Before(h[b].at) }

func (h deadlineHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index = a
	h[b].index = b
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	d := x.(*deadline)
	d.index = len(*h)
	*h = append(*h, d)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	d := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return d
}

// deadlines holds at most one deadline for each job, so that a step visits only the jobs that are due.
type deadlines struct {
	heap  deadlineHeap
	byJob map[structs.JobID]*deadline
}

func newDeadlines() *deadlines { return &deadlines{byJob: map[structs.JobID]*deadline{}} }

// set sets or replaces the deadline of a job.
func (d *deadlines) set(key structs.JobID, at time.Time) {
	if known := d.byJob[key]; known != nil {
		known.at = at
		heap.Fix(&d.heap, known.index)
		return
	}
	added := &deadline{at: at, key: key}
	d.byJob[key] = added
	heap.Push(&d.heap, added)
}

func (d *deadlines) remove(key structs.JobID) {
	if known := d.byJob[key]; known != nil {
		heap.Remove(&d.heap, known.index)
		delete(d.byJob, key)
	}
}

// due removes and returns the job with the earliest deadline if that deadline has passed.
func (d *deadlines) due(now time.Time) (structs.JobID, bool) {
	if len(d.heap) == 0 || now.Before(d.heap[0].at) {
		return "", false
	}
	key := d.heap[0].key
	d.remove(key)
	return key, true
}
