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

// perRack returns the number of accelerators in one rack.
func (r Racks) perRack() int { return r.WorkersPerRack * r.AcceleratorsPerWorker }

// cells returns how many cells of the given size the data centre holds. A cell is a group of adjacent accelerators that
// lies within one worker, is a number of whole workers of one rack, or is a number of whole racks.
func (r Racks) cells(size int) int {
	if size > r.perRack() {
		return r.Count / (size / r.perRack())
	}
	return r.Count * r.cellsPerRack(size)
}

// cellsPerRack returns how many cells of the given size, at most a rack, one rack holds.
func (r Racks) cellsPerRack(size int) int {
	if size > r.AcceleratorsPerWorker {
		return r.WorkersPerRack / (size / r.AcceleratorsPerWorker)
	}
	return r.WorkersPerRack * (r.AcceleratorsPerWorker / size)
}

// cellsWithin returns how many cells of the given size one cell of the larger or equal size outer holds.
func (r Racks) cellsWithin(outer, size int) int {
	if outer > r.perRack() && size <= r.perRack() {
		return outer / r.perRack() * r.cellsPerRack(size)
	}
	return outer / size
}

// checkDataCentres checks the data centres and fills c.centres.
func (c *checker) checkDataCentres() {
	c.centres = map[structs.DataCentre]DataCentre{}
	c.checkLength("data_centres", len(c.text.DataCentres), 1, maxDataCentres)
	seen := map[structs.DataCentre]bool{}
	for i, centre := range c.text.DataCentres {
		path := fmt.Sprintf("data_centres[%d]", i)
		checkUniqueName(c, path+".name", centre.Name, seen)
		c.checkName(path+".region", centre.Region)
		c.checkRacks(path+".racks", centre.Racks)
		c.centres[centre.Name] = centre
	}
}

func (c *checker) checkRacks(path string, racks Racks) {
	c.checkNumber(path+".count", racks.Count, 1, maxRacks)
	c.checkNumber(path+".workers_per_rack", racks.WorkersPerRack, 1, maxWorkersPerRack)
	c.checkNumber(path+".accelerators_per_worker", racks.AcceleratorsPerWorker, 1, maxAccelerators)
	c.checkNumber(path+".cores_per_worker", racks.CoresPerWorker, 1, maxCores)
	c.checkNumber(path+".memory_gb_per_worker", racks.MemoryGBPerWorker, 1, maxMemoryGB)
}

// usable reports whether the racks' values are valid, so that guarantees can be checked against them.
func (r Racks) usable() bool {
	return min(r.Count, r.WorkersPerRack, r.AcceleratorsPerWorker) >= 1 &&
		r.Count <= maxRacks && r.WorkersPerRack <= maxWorkersPerRack && r.AcceleratorsPerWorker <= maxAccelerators
}

// checkCustomers checks the customers and fills c.customers.
func (c *checker) checkCustomers() {
	c.customers = map[structs.Customer]bool{}
	c.checkLength("customers", len(c.text.Customers), 1, maxCustomers)
	tokens := map[string]bool{}
	for i, customer := range c.text.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		checkUniqueName(c, path+".name", customer.Name, c.customers)
		if customer.Weight <= 0 || customer.Weight > maxWeight {
			c.report.Add(path+".weight", "choose a value in the range", "%v is out of range; above 0 and up to %d", customer.Weight, maxWeight)
		}
		c.checkLength(path+".token_sha256", len(customer.TokenSHA256), 0, maxTokens)
		for j, token := range customer.TokenSHA256 {
			c.checkToken(fmt.Sprintf("%s.token_sha256[%d]", path, j), token, tokens)
		}
		c.checkNumber(path+".quota.accelerators", customer.Quota.Accelerators, 0, maxQuota)
		c.checkGuarantees(path, customer)
	}
}

func (c *checker) checkToken(path, token string, seen map[string]bool) {
	if _, err := hex.DecodeString(token); err != nil || len(token) != sha256HexChars {
		c.report.Add(path, "write the 64 hex digits that sha256sum prints for the token", "not a SHA-256 in hex")
		return
	}
	token = strings.ToLower(token)
	if seen[token] {
		c.report.Add(path, "give each customer its own token", "the token occurs twice, so it does not identify a customer")
	}
	seen[token] = true
}

// checkGuarantees checks each guarantee of one customer and compares their sum in each data centre with its quota.
func (c *checker) checkGuarantees(customerPath string, customer Customer) {
	guaranteed := map[structs.DataCentre]int{}
	seen := map[string]bool{}
	for i, g := range customer.Guarantees {
		path := fmt.Sprintf("%s.guarantees[%d]", customerPath, i)
		c.checkNumber(path+".count", g.Count, 1, maxGuaranteeCount)
		centre, known := c.centres[g.DataCentre]
		if !known {
			c.reportUnknownCentre(path+".data_centre", g.DataCentre)
			continue
		}
		key := fmt.Sprintf("%s/%d", g.DataCentre, g.Size)
		if seen[key] {
			c.report.Add(path, "combine them into one guarantee with the sum of their counts", "size %d in %s is guaranteed twice", g.Size, g.DataCentre)
		}
		seen[key] = true
		if centre.Racks.usable() && c.checkSize(path+".size", g.Size, centre.Racks) && g.Count <= maxGuaranteeCount {
			guaranteed[g.DataCentre] += g.Size * max(0, g.Count)
		}
	}
	for _, centre := range sortedKeys(guaranteed) {
		if quota := customer.Quota.Accelerators; quota > 0 && quota < guaranteed[structs.DataCentre(centre)] {
			c.report.Add(customerPath+".quota.accelerators", "raise the quota or lower the guarantees",
				"the quota of %d is below the %d accelerators guaranteed in %s", quota, guaranteed[structs.DataCentre(centre)], centre)
		}
	}
}

func (c *checker) reportUnknownCentre(path string, centre structs.DataCentre) {
	c.report.Add(path, "use one of: "+strings.Join(sortedKeys(c.centres), ", "), "unknown data centre %.40q", centre)
}

// checkSize checks that the data centre's workers and racks can be divided into cells of the size.
func (c *checker) checkSize(path string, size int, racks Racks) bool {
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

// guaranteeAtPath is a guarantee with its path in the text.
type guaranteeAtPath struct {
	Guarantee
	path string
}

// checkCombinedGuarantees checks for each data centre that the guaranteed sizes divide one another and that all guaranteed
// cells of all customers fit at the same time.
func (c *checker) checkCombinedGuarantees() {
	byCentre := map[structs.DataCentre][]guaranteeAtPath{}
	for i, customer := range c.text.Customers {
		for j, g := range customer.Guarantees {
			if g.Size >= 1 && g.Count >= 1 && g.Count <= maxGuaranteeCount {
				at := guaranteeAtPath{Guarantee: g, path: fmt.Sprintf("customers[%d].guarantees[%d]", i, j)}
				byCentre[g.DataCentre] = append(byCentre[g.DataCentre], at)
			}
		}
	}
	for _, centre := range c.text.DataCentres {
		all := byCentre[centre.Name]
		delete(byCentre, centre.Name) // of two data centres with one name only the first is checked; checkDataCentres reports the name
		if !centre.Racks.usable() {
			continue
		}
		slices.SortStableFunc(all, func(a, b guaranteeAtPath) int { return cmp.Compare(a.Size, b.Size) })
		if c.checkSizesDivide(centre, all) {
			c.checkCapacity(centre, all)
		}
	}
}

// checkSizesDivide checks that each size is a multiple of the next smaller one.
func (c *checker) checkSizesDivide(centre DataCentre, sorted []guaranteeAtPath) bool {
	valid := true
	for i := 1; i < len(sorted); i++ {
		if smaller := sorted[i-1].Size; sorted[i].Size%smaller != 0 {
			valid = false
			c.report.Add(sorted[i].path+".size", "choose sizes of which each divides the next larger one",
				"size %d is not a multiple of size %d, which is also guaranteed in %s", sorted[i].Size, smaller, centre.Name)
		}
	}
	return valid
}

// checkCapacity checks that all guarantees fit at the same time. They do if and only if, for each size, the data centre has
// as many cells of that size as the guarantees of this and all larger sizes need. It reports the first guarantee of each
// size for which there are too few.
func (c *checker) checkCapacity(centre DataCentre, sorted []guaranteeAtPath) {
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
				"the guarantees in %s need %d cells of %d accelerators, including those inside larger guarantees; it has %d", centre.Name, need, size, have)
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
