package spec

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

const sha256HexChars = 64

// accelerators returns the number of accelerators of the data centre.
func (r Racks) accelerators() int { return r.Count * r.perRack() }

func (r Racks) perRack() int { return r.WorkersPerRack * r.AcceleratorsPerWorker }

// cells returns how many cells of size accelerators the data centre holds.
func (r Racks) cells(size int) int {
	if size > r.perRack() {
		return r.Count / (size / r.perRack())
	}
	return r.Count * r.cellsPerRack(size)
}

func (r Racks) cellsPerRack(size int) int {
	if size > r.AcceleratorsPerWorker {
		return r.WorkersPerRack / (size / r.AcceleratorsPerWorker)
	}
	return r.WorkersPerRack * (r.AcceleratorsPerWorker / size)
}

// cellsWithin returns how many cells of size lie in one cell of the larger or equal size outer.
func (r Racks) cellsWithin(outer, size int) int {
	if outer > r.perRack() && size <= r.perRack() {
		return outer / r.perRack() * r.cellsPerRack(size)
	}
	return outer / size
}

func (c *checker) dataCentres() {
	c.centres = map[structs.DataCentre]DataCentre{}
	c.length("data_centres", len(c.text.DataCentres), 1, maxDataCentres)
	seen := map[structs.DataCentre]bool{}
	for i, centre := range c.text.DataCentres {
		path := fmt.Sprintf("data_centres[%d]", i)
		unique(c, path+".name", centre.Name, seen)
		c.name(path+".region", centre.Region)
		c.racks(path+".racks", centre.Racks)
		c.centres[centre.Name] = centre
	}
}

func (c *checker) racks(path string, racks Racks) {
	c.number(path+".count", racks.Count, 1, maxRacks)
	c.number(path+".workers_per_rack", racks.WorkersPerRack, 1, maxWorkersPerRack)
	c.number(path+".accelerators_per_worker", racks.AcceleratorsPerWorker, 1, maxAccelerators)
	c.number(path+".cores_per_worker", racks.CoresPerWorker, 1, maxCores)
	c.number(path+".memory_gb_per_worker", racks.MemoryGBPerWorker, 1, maxMemoryGB)
}

// usable reports whether shapes can be checked against the racks.
func (r Racks) usable() bool {
	return min(r.Count, r.WorkersPerRack, r.AcceleratorsPerWorker) >= 1 &&
		r.Count <= maxRacks && r.WorkersPerRack <= maxWorkersPerRack && r.AcceleratorsPerWorker <= maxAccelerators
}

func (c *checker) customerList() {
	c.customers = map[structs.Customer]bool{}
	c.length("customers", len(c.text.Customers), 1, maxCustomers)
	tokens := map[string]bool{}
	for i, customer := range c.text.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		unique(c, path+".name", customer.Name, c.customers)
		if customer.Weight <= 0 || customer.Weight > maxWeight {
			c.report.Add(path+".weight", "choose a value in the range", "%v is out of range; above 0 and up to %d", customer.Weight, maxWeight)
		}
		c.length(path+".token_sha256", len(customer.TokenSHA256), 0, maxTokens)
		for j, token := range customer.TokenSHA256 {
			c.token(fmt.Sprintf("%s.token_sha256[%d]", path, j), token, tokens)
		}
		c.number(path+".quota.accelerators", customer.Quota.Accelerators, 0, maxQuota)
		c.guarantees(path, customer)
	}
}

func (c *checker) token(path, token string, seen map[string]bool) {
	if _, err := hex.DecodeString(token); err != nil || len(token) != sha256HexChars {
		c.report.Add(path, "write the 64 hex digits that sha256sum prints for the token", "not a SHA-256 in hex")
		return
	}
	token = strings.ToLower(token)
	if seen[token] {
		c.report.Add(path, "give each customer its own token", "the token occurs twice, so its customer is not defined")
	}
	seen[token] = true
}

func (c *checker) guarantees(customerPath string, customer Customer) {
	held := map[structs.DataCentre]int{}
	seen := map[string]bool{}
	for i, g := range customer.Guarantees {
		path := fmt.Sprintf("%s.guarantees[%d]", customerPath, i)
		c.number(path+".count", g.Count, 1, maxGuaranteeCount)
		centre, known := c.centres[g.DataCentre]
		if !known {
			c.unknownCentre(path+".data_centre", g.DataCentre)
			continue
		}
		key := fmt.Sprintf("%s/%d", g.DataCentre, g.Size)
		if seen[key] {
			c.report.Add(path, "add the counts in one guarantee", "size %d in %s is guaranteed twice", g.Size, g.DataCentre)
		}
		seen[key] = true
		if centre.Racks.usable() && c.shape(path+".size", g.Size, centre.Racks) && g.Count <= maxGuaranteeCount {
			held[g.DataCentre] += g.Size * max(0, g.Count)
		}
	}
	for _, centre := range sortedKeys(held) {
		if quota := customer.Quota.Accelerators; quota > 0 && quota < held[structs.DataCentre(centre)] {
			c.report.Add(customerPath+".quota.accelerators", "raise the quota or lower the guarantees",
				"the quota of %d is below the %d accelerators guaranteed in %s", quota, held[structs.DataCentre(centre)], centre)
		}
	}
}

func (c *checker) unknownCentre(path string, centre structs.DataCentre) {
	c.report.Add(path, "use one of: "+strings.Join(sortedKeys(c.centres), ", "), "unknown data centre %.40q", centre)
}

// shape checks that cells of the size exist in the hierarchy of accelerators, workers, racks and data centre.
func (c *checker) shape(path string, size int, racks Racks) bool {
	worker, rack := racks.AcceleratorsPerWorker, racks.perRack()
	switch {
	case size < 1 || size > racks.accelerators():
		c.report.Add(path, "choose a value in the range", "%d is out of range; 1 to %d", size, racks.accelerators())
	case size <= worker && (size&(size-1) != 0 || worker%size != 0):
		c.report.Add(path, fmt.Sprintf("use a power of two that divides %d", worker), "size %d does not divide a worker", size)
	case size > worker && size <= rack && size%worker != 0:
		c.report.Add(path, fmt.Sprintf("use a multiple of %d", worker), "size %d is not a whole number of workers", size)
	case size > rack && size%rack != 0:
		c.report.Add(path, fmt.Sprintf("use a multiple of %d", rack), "size %d is not a whole number of racks", size)
	default:
		return true
	}
	return false
}

// placed is a guarantee with its path.
type placed struct {
	Guarantee
	path string
}

// guaranteesTogether checks, for each data centre, that the sizes divide one another and that all shapes fit at once.
func (c *checker) guaranteesTogether() {
	byCentre := map[structs.DataCentre][]placed{}
	for i, customer := range c.text.Customers {
		for j, g := range customer.Guarantees {
			if g.Size >= 1 && g.Count >= 1 && g.Count <= maxGuaranteeCount {
				at := placed{Guarantee: g, path: fmt.Sprintf("customers[%d].guarantees[%d]", i, j)}
				byCentre[g.DataCentre] = append(byCentre[g.DataCentre], at)
			}
		}
	}
	for _, centre := range c.text.DataCentres {
		all := byCentre[centre.Name]
		delete(byCentre, centre.Name) // a name that occurs twice is reported elsewhere
		if !centre.Racks.usable() {
			continue
		}
		slices.SortStableFunc(all, func(a, b placed) int { return cmp.Compare(a.Size, b.Size) })
		if c.chain(centre, all) {
			c.fit(centre, all)
		}
	}
}

func (c *checker) chain(centre DataCentre, sorted []placed) bool {
	divides := true
	for i := 1; i < len(sorted); i++ {
		if smaller := sorted[i-1].Size; sorted[i].Size%smaller != 0 {
			divides = false
			c.report.Add(sorted[i].path+".size", "choose sizes of which each divides the next larger one",
				"size %d is not a multiple of size %d, which is also guaranteed in %s", sorted[i].Size, smaller, centre.Name)
		}
	}
	return divides
}

// fit counts cells: the shapes fit together if and only if, at each size, there are as many cells as the shapes of that
// size and of all larger ones hold. It reports the guarantee at which the cells run out.
func (c *checker) fit(centre DataCentre, sorted []placed) {
	for i := range sorted {
		size := sorted[i].Size
		if i > 0 && sorted[i-1].Size == size {
			continue
		}
		have, need := centre.Racks.cells(size), 0
		for _, larger := range sorted[i:] {
			need += larger.Count * max(1, centre.Racks.cellsWithin(larger.Size, size))
		}
		if need > have {
			c.report.Add(sorted[i].path, "lower the guarantees or correct the racks",
				"the guarantees in %s need %d cells of %d accelerators, with the larger ones; it has %d", centre.Name, need, size, have)
		}
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, string(key))
	}
	slices.Sort(keys)
	return keys
}
