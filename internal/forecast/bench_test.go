package forecast

import (
	"testing"
	"time"
)

func BenchmarkSlowdown(b *testing.B) {
	g := trained(540)
	names := make([]string, 540)
	for i := range names {
		names[i] = workerName(i)
	}
	for i := 0; b.Loop(); i++ {
		g.model.Slowdown(names[i%540])
	}
}

func BenchmarkPredict(b *testing.B) {
	g := trained(540)
	w, _ := g.work(5)
	w.Series = "series"
	for b.Loop() {
		g.model.Predict(w)
	}
}

func BenchmarkObserveRun(b *testing.B) {
	g := trained(540)
	w, _ := g.work(5)
	for i := 0; b.Loop(); i++ {
		siblings := 2 * time.Second
		if i%5 == 0 {
			siblings = 0
		}
		g.now = g.now.Add(10 * time.Millisecond)
		g.model.ObserveRun(w, workerName(i%540), 2*time.Second, siblings, g.now)
	}
}

func BenchmarkObserveGangOf13(b *testing.B) {
	g := trained(540)
	w := Work{Queue: "q5", Width: 13, Gang: true, Estimate: time.Second}
	var names []string
	for i := range 13 {
		names = append(names, workerName(i))
	}
	for b.Loop() {
		g.now = g.now.Add(10 * time.Millisecond)
		g.model.ObserveGang(w, names, 2*time.Second, g.now)
	}
}

func BenchmarkObserveProgress(b *testing.B) {
	g := trained(540)
	for i := 0; b.Loop(); i++ {
		g.now = g.now.Add(10 * time.Millisecond)
		g.model.ObserveProgress(workerName(i%540), 1.2, g.now)
	}
}

func BenchmarkSummary(b *testing.B) {
	g := trained(540)
	for b.Loop() {
		g.model.Summary(16 << 10)
	}
}

func BenchmarkRestore(b *testing.B) {
	data := trained(540).model.Summary(16 << 10)
	for b.Loop() {
		if err := New().Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}
