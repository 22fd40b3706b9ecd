package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(id string, customer structs.Customer, n, urgency int, run, age time.Duration) Entry {
	return Entry{Job: structs.Job{ID: structs.JobID(id), Customer: customer, Accelerators: n, Urgency: urgency,
		RunTime: run, SubmittedAt: now.Add(-age)}}
}

func order(q *Queue, view View, limit int) (ids []string) {
	for _, e := range q.Next(view, limit) {
		ids = append(ids, string(e.Job.ID))
	}
	return ids
}

// TestOrder guards against jobs out of order, a job that starves although it has waited for long, an exceeded quota and a
// full queue that accepts jobs.
func TestOrder(t *testing.T) {
	q := New(Policy{MaxJobs: 7, Accelerators: 10, Customers: map[structs.Customer]Share{"q": {Quota: 4}, "heavy": {Weight: 2}}})
	guaranteed := entry("guaranteed", "g", 8, 0, time.Hour, 0)
	guaranteed.Guaranteed = true
	waiting := []Entry{entry("long", "a", 1, 5, time.Hour, 0), entry("short", "a", 1, 5, time.Minute, 0), guaranteed,
		entry("aged", "a", 1, 5, 90*time.Hour, 3*time.Hour), entry("urgent", "a", 1, 6, time.Hour, 0),
		entry("in quota", "q", 2, 4, 0, 0), entry("over quota", "q", 3, 4, 0, 0)}
	for _, e := range waiting {
		assert.NilError(t, q.Push(e))
	}
	assert.Assert(t, errkind.Is(q.Push(entry("one more", "a", 1, 0, 0, 0)), errkind.Overloaded))
	assert.Assert(t, errkind.Is(q.Push(entry("in quota", "q", 5, 0, 0, 0)), errkind.CannotRun))
	view := View{Now: now, Used: func(structs.Customer) int { return 2 }}
	want := []string{"guaranteed", "urgent", "aged", "short", "long", "in quota"}
	assert.DeepEqual(t, order(q, view, 9), want)
	view.Entitled = func(structs.Customer, int) bool { return false }
	assert.DeepEqual(t, order(q, view, 3), []string{"urgent", "aged", "short"})
	q.Charge("a", 20000) // 2.8 h ahead of its share, more than one level
	assert.NilError(t, q.Push(entry("short", "heavy", 1, 5, 2*time.Minute, 0)), "changes a waiting job")
	assert.DeepEqual(t, order(q, view, 3), []string{"urgent", "short", "aged"})
}

// TestQueueAgainstSort guards against a job that is lost, repeated or out of order after adding, changing and removing jobs. It
// compares the queue with a sorted model.
func TestQueueAgainstSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, model := New(Policy{}), map[structs.JobID]*item{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("j", rapid.IntRange(0, 30).Draw(t, "job"))
			if rapid.IntRange(0, 2).Draw(t, "step") == 0 {
				assert.Equal(t, q.Remove(structs.JobID(id)), model[structs.JobID(id)] != nil)
				delete(model, structs.JobID(id))
				continue
			}
			run := time.Duration(rapid.IntRange(0, 9).Draw(t, "run")) * time.Minute
			customer := structs.Customer(fmt.Sprint("c", rapid.IntRange(0, 3).Draw(t, "customer")))
			e := entry(id, customer, 1, rapid.IntRange(0, 3).Draw(t, "urgency"), run, time.Duration(i))
			q.Requeue(e)
			model[e.Job.ID] = &item{entry: e, key: startKey(e)}
		}
		var want []string
		for _, it := range sorted(model) {
			want = append(want, string(it.entry.Job.ID))
		}
		assert.DeepEqual(t, order(q, View{Now: now}, 100), want)
		assert.Equal(t, q.Len(), len(model))
	})
}

func sorted(model map[structs.JobID]*item) (items []*item) {
	for _, it := range model {
		items = append(items, it)
	}
	slices.SortFunc(items, compareItems)
	return items
}
