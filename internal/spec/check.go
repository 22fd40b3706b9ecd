package spec

import (
	"fmt"
	"regexp"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/spec/strict"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Bounds of the text's values. Those of minions and checkpoints are the platform's; the others only keep a wrong digit
// from making the system hold or scan more than it can.
const (
	maxDataCentres     = 64
	maxRacks           = 10_000
	maxWorkersPerRack  = 1024
	maxAccelerators    = 64 // of one worker
	maxCores           = 4096
	maxMemoryGB        = 1 << 20
	maxCustomers       = 10_000
	maxWeight          = 1_000_000
	maxTokens          = 16 // of one customer; several while a token is rotated
	maxGuaranteeCount  = 1_000_000
	maxQuota           = 10_000_000
	maxServices        = 1000
	maxTaskCount       = 10_000
	maxSlots           = 8
	maxConnections     = 64
	maxDeadline        = time.Hour
	maxJobRunTime      = 60 * 24 * time.Hour
	maxCheckpoint      = 5 * time.Second // longer ones would break the 7.8 s in which urgent work starts
	maxAttempts        = 1000
	maxCallers         = 1_000_000
	maxQueuedRequests  = 1_000_000
	maxQueuedJobs      = 1_000_000
	shareRounding      = 1e-9 // shares such as 0.1 have no exact binary form
	connectionsPerSlot = 2    // while a minion changes its owner, both may have a connection per slot and one for status
)

// name is what names may look like: they become parts of URLs and stream names.
var name = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

type checker struct {
	text      *Text
	report    *strict.Report
	customers map[structs.Customer]bool
	services  map[structs.ServiceName]int
	centres   map[structs.DataCentre]DataCentre
}

func (c *checker) all() {
	c.name("deployment", c.text.Deployment)
	c.dataCentres()
	c.customerList()
	c.guaranteesTogether()
	c.serviceList()
	c.cycles()
	c.jobKinds()
	c.limits()
}

// name checks a required name and reports whether it is usable.
func (c *checker) name(path, value string) bool {
	if value == "" {
		c.report.Add(path, "add the key with a name", "a name is required")
		return false
	}
	if len(value) > structs.MaxIdentifierBytes {
		c.report.Add(path, "shorten it", "the name has %d bytes; at most %d are allowed", len(value), structs.MaxIdentifierBytes)
		return false
	}
	if !name.MatchString(value) {
		c.report.Add(path, "use lower-case letters, digits and inner hyphens", "%.40q is not a valid name", value)
		return false
	}
	return true
}

// unique checks a name within its list.
func unique[N ~string](c *checker, path string, value N, seen map[N]bool) {
	if !c.name(path, string(value)) {
		return
	}
	if seen[value] {
		c.report.Add(path, "rename or remove one of them", "the name %q occurs twice", value)
	}
	seen[value] = true
}

func (c *checker) number(path string, value, least, most int) {
	if value < least || value > most {
		c.report.Add(path, "choose a value in the range", "%d is out of range; %d to %d", value, least, most)
	}
}

func (c *checker) duration(path string, value, least, most time.Duration) {
	if value < least || value > most {
		c.report.Add(path, "choose a value in the range", "%v is out of range; %v to %v", value, least, most)
	}
}

func (c *checker) urgency(path string, value int) { c.number(path, value, 0, structs.MaxUrgency) }

func (c *checker) length(path string, length, least, most int) {
	if length < least {
		c.report.Add(path, "add an entry", "%d entries are too few; at least %d", length, least)
	}
	if length > most {
		c.report.Add(path, "remove entries", "%d entries are too many; at most %d", length, most)
	}
}

func (c *checker) jobKinds() {
	seen := map[structs.KindName]bool{}
	for i, kind := range c.text.JobKinds {
		path := fmt.Sprintf("job_kinds[%d]", i)
		unique(c, path+".name", kind.Name, seen)
		c.urgency(path+".urgency", kind.Urgency)
		c.fitsSomewhere(path+".max_accelerators", kind.MaxAccelerators)
		c.duration(path+".max_run_time", kind.MaxRunTime, time.Millisecond, maxJobRunTime)
		c.duration(path+".checkpoint", kind.Checkpoint, 0, maxCheckpoint)
		c.number(path+".max_attempts", kind.MaxAttempts, 1, maxAttempts)
	}
}

// fitsSomewhere checks that at least one data centre has so many accelerators: a larger job could never run.
func (c *checker) fitsSomewhere(path string, accelerators int) {
	largest := 0
	for _, centre := range c.text.DataCentres {
		largest = max(largest, centre.Racks.accelerators())
	}
	if accelerators < 1 || accelerators > largest {
		c.report.Add(path, "choose a value that fits one data centre", "%d is out of range; 1 to %d", accelerators, largest)
	}
}

func (c *checker) limits() {
	l := c.text.Limits
	c.number("limits.callers_per_customer", l.CallersPerCustomer, 1, maxCallers)
	c.number("limits.queued_requests", l.QueuedRequests, 1, maxQueuedRequests)
	c.number("limits.queued_jobs", l.QueuedJobs, 1, maxQueuedJobs)
	c.number("limits.request_body_bytes", l.RequestBodyBytes, 1, structs.MaxBodyBytes)
}
