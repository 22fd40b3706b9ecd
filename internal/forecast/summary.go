package forecast

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodnotch.example/dogwoodnotch/internal/codec"
)

// summaryVersion changes with the meaning of a summary's fields.
const summaryVersion = 1

// maxSummary limits the size of a summary that is read.
const maxSummary = 1 << 20

// queueShare is the largest share of a summary that queues may take, so that there is room for workers.
const queueShare = 0.25

// summary is the stored form of a model. Workers and refinements are in the order of their information, the most first.
type summary struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the library

	Version     int
	Uneven      bool
	Noise       float64
	NoiseWeight float64
	Queues      []queueSummary
	Workers     []workerSummary
	Refinements []refinementSummary
}

type queueSummary struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the library

	Name string
	Sums [7]float32 // fields of regression, in order
}

// workerSummary has the evidence of a worker as a normal distribution. Numbers are integers, which are shorter: lengths of log units are in
// thousandths, the weight in tenths.
type workerSummary struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the library

	Name                 string
	Mean, Spread, Weight int
}

type refinementSummary struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the library

	Level                   int
	Queue, Customer, Series string
	Step, Width             int
	Gang                    bool
	Numbers                 [5]float32 // weight, sum, with, without and compared
}

const (
	summaryUnit       = 1000 // units of a log in a workerSummary
	summaryWeightUnit = 10
)

// Summary returns the model's state in at most maxBytes bytes, the workers with the most information first. It is nil if
// not even an empty state fits.
func (m *Model) Summary(maxBytes int) []byte {
	s := summary{Version: summaryVersion, Uneven: m.workers.uneven, Noise: m.workers.noise, NoiseWeight: m.workers.noiseWeight}
	const headers = 3 * 5 // lengths of the three lists, at most
	left := maxBytes - len(encode(s)) - headers
	if left < 0 {
		return nil
	}
	queueLimit := int(queueShare * float64(left))
	m.work.queues.each(func(name string, r *regression) {
		q := queueSummary{Name: name, Sums: [7]float32{float32(r.weight), float32(r.sumX), float32(r.sumY), float32(r.sumXX), float32(r.sumXY), float32(r.squares), float32(r.squaresWeight)}}
		if size := len(encode(q)); size <= queueLimit && r.weight > 0 {
			s.Queues = append(s.Queues, q)
			queueLimit -= size
			left -= size
		}
	})
	workers := make([]*workerState, 0, len(m.workers.order))
	for _, w := range m.workers.order {
		if w.weight >= 1.0/summaryWeightUnit {
			workers = append(workers, w)
		}
	}
	slices.SortFunc(workers, func(a, b *workerState) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	left = appendFitting(&s.Workers, workers, left, summariseWorker)
	refinements := make([]refinementSummary, 0, len(m.work.refinements.entries))
	m.work.refinements.each(func(k refinementKey, r *refinement) {
		if r.weight >= 1 {
			refinements = append(refinements, refinementSummary{
				Level: int(k.level), Queue: k.queue, Customer: k.customer, Series: k.series, Step: int(k.step), Width: int(k.width), Gang: k.gang,
				Numbers: [5]float32{float32(r.weight), float32(r.sum), float32(r.with), float32(r.without), float32(r.compared)},
			})
		}
	})
	slices.SortStableFunc(refinements, func(a, b refinementSummary) int { return cmp.Compare(b.Numbers[0], a.Numbers[0]) })
	appendFitting(&s.Refinements, refinements, left, func(r refinementSummary) refinementSummary { return r })
	return encode(s)
}

// appendFitting appends the summaries of items, in their order, that fit into the given number of bytes, and returns what is left of it.
func appendFitting[I, S any](list *[]S, items []I, left int, summarise func(I) S) int {
	for _, item := range items {
		s := summarise(item)
		if size := len(encode(s)); size <= left {
			*list = append(*list, s)
			left -= size
		} else if left < 32 {
			break
		}
	}
	return left
}

// summariseWorker returns the normal distribution that has the moments of a worker's evidence.
func summariseWorker(w *workerState) workerSummary {
	var likelihood [gridSize]float64
	highest, total := slices.Max(w.evidence[:]), 0.0
	for k := range likelihood {
		likelihood[k] = math.Exp(w.evidence[k] - highest)
		total += likelihood[k]
	}
	for k := range likelihood {
		likelihood[k] /= total
	}
	mean, spread := moments(&likelihood)
	return workerSummary{
		Name: w.name, Mean: int(math.Round(mean * summaryUnit)), Spread: int(math.Round(max(spread, 1.0/summaryUnit) * summaryUnit)),
		Weight: int(math.Round(w.weight * summaryWeightUnit)),
	}
}

func encode(value any) []byte {
	data, err := msgpack.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", value, err)) // unreachable: msgpack supports all types used here
	}
	return data
}

// Reasons for which a summary is not restored.
var (
	ErrSummaryVersion = errors.New("the summary has another version")
	ErrSummaryValue   = errors.New("the summary has a number out of range")
	ErrSummarySize    = errors.New("the summary is too large")
)

// Restore replaces the model's state by that of a summary. If the summary is unreadable it returns an error and leaves
// the model unchanged.
func (m *Model) Restore(data []byte) error {
	if len(data) > maxSummary {
		return ErrSummarySize
	}
	var s summary
	if err := codec.Unmarshal(data, &s); err != nil {
		return err
	}
	if s.Version != summaryVersion {
		return ErrSummaryVersion
	}
	fresh := New()
	if err := fresh.restore(&s); err != nil {
		return err
	}
	fresh.changes = m.changes + 1
	*m = *fresh
	return nil
}

// restore fills an empty model from a summary.
func (m *Model) restore(s *summary) error {
	if !within(s.Noise, 0, 1e6) || !within(s.NoiseWeight, 1e-3, 1e6) {
		return ErrSummaryValue
	}
	m.workers.uneven, m.workers.noise, m.workers.noiseWeight = s.Uneven, s.Noise, s.NoiseWeight
	for _, q := range slices.Backward(s.Queues) { // the latest used comes last
		r, err := q.regression()
		if err != nil {
			return err
		}
		m.work.queues.use(q.Name, func() *regression { return r })
	}
	if err := m.workers.restore(s.Workers); err != nil {
		return err
	}
	for _, q := range slices.Backward(s.Refinements) {
		key, r, err := q.refinement()
		if err != nil {
			return err
		}
		m.work.refinements.use(key, func() *refinement { return r })
	}
	return nil
}

// restore adds workers to an empty model.
func (m *workerModel) restore(workers []workerSummary) error {
	for i, s := range workers {
		if i == maxWorkers {
			break
		}
		mean, spread, weight := float64(s.Mean)/summaryUnit, float64(s.Spread)/summaryUnit, float64(s.Weight)/summaryWeightUnit
		if !within(mean, grid[0], grid[gridSize-1]) || !within(spread, 1.0/summaryUnit, 2) || !within(weight, 0, 1/(1-evidenceDecay)+1) {
			return ErrSummaryValue
		}
		w := m.use(s.Name)
		w.weight = weight
		for k := range w.evidence {
			deviation := (grid[k] - mean) / max(spread, minSpread/2)
			w.evidence[k] = -deviation * deviation / 2
		}
	}
	const rounds = 4 // the prior and the posteriors depend on each other
	for range rounds {
		m.updatePrior()
		for _, w := range m.order {
			m.update(w)
		}
	}
	return nil
}

// regression returns the regression of a summary.
func (q *queueSummary) regression() (*regression, error) {
	r := &regression{}
	for i, field := range []*float64{&r.weight, &r.sumX, &r.sumY, &r.sumXX, &r.sumXY, &r.squares, &r.squaresWeight} {
		*field = float64(q.Sums[i])
	}
	const (
		maxWeight = 1/(1-observationDecay) + 1
		maxLog    = 40 // of a time in seconds
	)
	valid := within(r.weight, 1e-3, maxWeight) && within(r.squaresWeight, 0, maxWeight) && within(r.squares, 0, maxWeight*spreadCut*spreadCut) &&
		within(r.sumX/r.weight, -maxLog, maxLog) && within(r.sumY/r.weight, -maxLog, maxLog) &&
		within(r.sumXX/r.weight, 0, maxLog*maxLog) && within(r.sumXY/r.weight, -maxLog*maxLog, maxLog*maxLog) &&
		r.sumXX >= r.sumX*r.sumX/r.weight*(1-1e-3)-1e-3 // a variance is not negative
	if !valid {
		return nil, ErrSummaryValue
	}
	return r, nil
}

// refinement returns the refinement of a summary.
func (q *refinementSummary) refinement() (refinementKey, *refinement, error) {
	r := &refinement{weight: float64(q.Numbers[0]), sum: float64(q.Numbers[1]), with: float64(q.Numbers[2]), without: float64(q.Numbers[3]), compared: float64(q.Numbers[4])}
	const (
		maxWeight  = 100
		maxSquares = maxWeight * maxRefinedSquare
	)
	valid := q.Level >= 0 && q.Level < int(levels) && q.Step >= 0 && q.Step <= 15 && q.Width >= 0 && q.Width <= 64 &&
		within(r.weight, 0, maxWeight) && within(r.sum/max(r.weight, 1e-3), -2*spreadCut, 2*spreadCut) &&
		within(r.compared, 0, maxWeight) && within(r.with, 0, maxSquares) && within(r.without, 0, maxSquares)
	if !valid {
		return refinementKey{}, nil, ErrSummaryValue
	}
	return refinementKey{
		level: level(q.Level), queue: q.Queue, customer: q.Customer, series: q.Series, step: uint8(q.Step), width: uint8(q.Width), gang: q.Gang,
	}, r, nil
}

// within reports whether v is a number from low to high.
func within(v, low, high float64) bool { return v >= low && v <= high }
