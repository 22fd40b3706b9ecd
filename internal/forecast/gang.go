package forecast

import (
	"math"
	"slices"
	"time"
)

// maxGang is the number of workers from which on a gang says nothing about its members.
const maxGang = 512

// relative returns the expected log slowdown of a worker relative to the fleet, also while the fleet counts as even.
func (m *workerModel) relative(name string) float64 {
	w := m.known(name)
	if w == &m.unknown && len(m.order) == 0 {
		return 0
	}
	return w.mean - m.centre()
}

// slowest returns the expected log slowdown of the slowest of some workers relative to the fleet.
func (m *workerModel) slowest(names []string) float64 {
	var product [gridSize]float64
	for k := range product {
		product[k] = 1
	}
	for _, name := range distinct(names) {
		below := 0.0
		for k, p := range m.known(name).posterior {
			below += p
			product[k] *= min(below, 1)
		}
	}
	mean, before := 0.0, 0.0
	for k, p := range product {
		mean += (p - before) * grid[k]
		before = p
	}
	return mean - m.centre()
}

// distinct returns the names in order, each once.
func distinct(names []string) []string {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// observeGang adds a gang's run that took the given log difference longer than its prediction, which has that spread. A gang ends with its
// slowest member. For each member, the likelihood of a slowdown is the mean of the difference's density over the distribution of
// the maximum of that slowdown and of the others' slowdowns.
func (m *workerModel) observeGang(names []string, difference, spread float64, now time.Time) {
	names = distinct(names)
	if spread > maxEvidenceNoise || len(names) > maxGang {
		return
	}
	observed := difference + m.centre()
	var density [gridSize]float64
	for k := range density {
		density[k] = math.Exp(logLikelihood(observed-grid[k], spread))
	}
	type distribution = [gridSize]float64
	cumulated := make([]distribution, len(names)) // of each member's slowdown
	later := make([]distribution, len(names)+1)   // of the maximum of the members from each one on
	members := make([]*workerState, len(names))
	for i, name := range names {
		members[i] = m.use(name)
		below := 0.0
		for k, p := range members[i].posterior {
			below += p
			cumulated[i][k] = min(below, 1)
		}
	}
	for k := range later[len(names)] {
		later[len(names)][k] = 1
	}
	for i := len(names) - 1; i >= 0; i-- {
		for k := range later[i] {
			later[i][k] = cumulated[i][k] * later[i+1][k]
		}
	}
	earlier := later[len(names)] // distribution of the maximum of the members before one
	information := m.information(spread) / math.Sqrt(float64(len(names)))
	for i, w := range members {
		weight := gangWeight * w.burst(now)
		w.weaken(weight, now)
		w.weight += weight * information
		above := 0.0 // density of the difference where the others' maximum is above a slowdown
		for k := gridSize - 1; k >= 0; k-- {
			others := earlier[k] * later[i+1][k]
			w.evidence[k] += weight * math.Log(max(others*density[k]+above, math.SmallestNonzeroFloat64))
			if k > 0 {
				above += (others - earlier[k-1]*later[i+1][k-1]) * density[k]
			}
		}
		m.update(w)
		for k := range earlier {
			earlier[k] *= cumulated[i][k]
		}
	}
	m.updateOthers()
}
