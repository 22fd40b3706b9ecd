package spec

import (
	"fmt"
	"regexp"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/spec/strict"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Largest values that the text may have. The platform sets those of minions and checkpoints. The others only prevent a
// mistyped digit from making the system hold or scan more than it can.
const (
	maxDataCentres     = 64
	maxRacks           = 10_000
	maxWorkersPerRack  = 1024
	maxAccelerators    = 64      // in one worker
	maxCores           = 4096    // in one worker
	maxMemoryGB        = 1 << 20 // in one worker
	maxCustomers       = 10_000
	maxWeight          = 1_000_000
	maxTokens          = 16 // for one customer, who has several while a token is rotated
	maxGuaranteeCount  = 1_000_000
	maxQuota           = 10_000_000
	maxServices        = 1000
	maxTaskCount       = 10_000
	maxSlots           = 8
	maxConnections     = 64
	maxDeadline        = time.Hour
	maxJobRunTime      = 60 * 24 * time.Hour
	maxCheckpoint      = 5 * time.Second // with a longer one, urgent work would not start within its bound of 7.8 s
	maxAttempts        = 1000
	maxCallers         = 1_000_000
	maxQueuedRequests  = 1_000_000
	maxQueuedJobs      = 1_000_000
	shareRounding      = 1e-9 // tolerance of a sum of shares, because shares such as 0.1 have no exact binary form
	connectionsPerSlot = 2    // while a minion changes its owner, old and new owner may each hold a connection per slot and one for status
)

// namePattern is the form of a name. Names become parts of URLs and of stream names.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// checker finds the faults of a decoded text and adds them to a report.
type checker struct {
	text      *Text
	report    *strict.Report
	customers map[structs.Customer]bool
	services  map[structs.ServiceName]int // index of each service in the text
	centres   map[structs.DataCentre]DataCentre
}

func (c *checker) checkAll() {
	c.checkName("deployment", c.text.Deployment)
	c.checkDataCentres()
	c.checkCustomers()
	c.checkCombinedGuarantees()
	c.checkServices()
	c.checkDependencyCycles()
	c.checkJobKinds()
	c.checkLimits()
}

// checkName checks a required name and returns whether it is valid.
func (c *checker) checkName(path, value string) bool {
	if value == "" {
		c.report.Add(path, "add the key with a name", "a name is required")
		return false
	}
	if len(value) > structs.MaxIdentifierBytes {
		c.report.Add(path, "shorten it", "the name has %d bytes; at most %d are allowed", len(value), structs.MaxIdentifierBytes)
		return false
	}
	if !namePattern.MatchString(value) {
		c.report.Add(path, "use lower-case letters, digits and inner hyphens", "%.40q is not a valid name", value)
		return false
	}
	return true
}

// checkUniqueName checks a name and that no earlier entry of its list has the same one.
func checkUniqueName[N ~string](c *checker, path string, value N, seen map[N]bool) {
	if !c.checkName(path, string(value)) {
		return
	}
	if seen[value] {
		c.report.Add(path, "rename or remove one of the two", "the name %q occurs twice", value)
	}
	seen[value] = true
}

func (c *checker) checkNumber(path string, value, least, most int) {
	if value < least || value > most {
		c.report.Add(path, "choose a value in the range", "%d is out of range; %d to %d", value, least, most)
	}
}

func (c *checker) checkDuration(path string, value, least, most time.Duration) {
	if value < least || value > most {
		c.report.Add(path, "choose a value in the range", "%v is out of range; %v to %v", value, least, most)
	}
}

func (c *checker) checkUrgency(path string, value int) {
	c.checkNumber(path, value, 0, structs.MaxUrgency)
}

func (c *checker) checkLength(path string, length, least, most int) {
	if length < least {
		c.report.Add(path, "add an entry", "%d entries are too few; at least %d", length, least)
	}
	if length > most {
		c.report.Add(path, "remove entries", "%d entries are too many; at most %d", length, most)
	}
}

func (c *checker) checkJobKinds() {
	seen := map[structs.KindName]bool{}
	for i, kind := range c.text.JobKinds {
		path := fmt.Sprintf("job_kinds[%d]", i)
		checkUniqueName(c, path+".name", kind.Name, seen)
		c.checkUrgency(path+".urgency", kind.Urgency)
		c.checkFitsOneCentre(path+".max_accelerators", kind.MaxAccelerators)
		c.checkDuration(path+".max_run_time", kind.MaxRunTime, time.Millisecond, maxJobRunTime)
		c.checkDuration(path+".checkpoint", kind.Checkpoint, 0, maxCheckpoint)
		c.checkNumber(path+".max_attempts", kind.MaxAttempts, 1, maxAttempts)
	}
}

// checkFitsOneCentre checks that at least one data centre has this many accelerators. A larger job could never run.
func (c *checker) checkFitsOneCentre(path string, accelerators int) {
	largest := 0
	for _, centre := range c.text.DataCentres {
		largest = max(largest, centre.Racks.accelerators())
	}
	if accelerators < 1 || accelerators > largest {
		c.report.Add(path, "choose a value that fits one data centre", "%d is out of range; 1 to %d", accelerators, largest)
	}
}

func (c *checker) checkLimits() {
	limits := c.text.Limits
	c.checkNumber("limits.callers_per_customer", limits.CallersPerCustomer, 1, maxCallers)
	c.checkNumber("limits.queued_requests", limits.QueuedRequests, 1, maxQueuedRequests)
	c.checkNumber("limits.queued_jobs", limits.QueuedJobs, 1, maxQueuedJobs)
	c.checkNumber("limits.request_body_bytes", limits.RequestBodyBytes, 1, structs.MaxBodyBytes)
}
