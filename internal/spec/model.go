// Package spec decodes, checks and compares the text: the configuration that operators publish. It declares data centres,
// customers, services and kinds of jobs.
package spec

import (
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Text is the decoded text. It is read-only once checked.
type Text struct {
	Deployment  string       `yaml:"deployment" json:"deployment"`
	DataCentres []DataCentre `yaml:"data_centres" json:"data_centres"`
	Customers   []Customer   `yaml:"customers" json:"customers"`
	Services    []Service    `yaml:"services" json:"services"`
	JobKinds    []JobKind    `yaml:"job_kinds" json:"job_kinds"`
	Limits      Limits       `yaml:"limits" json:"limits"`
}

// DataCentre declares a data centre and its racks.
type DataCentre struct {
	Name   structs.DataCentre `yaml:"name" json:"name"`
	Region string             `yaml:"region" json:"region"`
	Racks  Racks              `yaml:"racks" json:"racks"`
}

// Racks declares the number and size of a data centre's racks, which are all alike. Count is the number that operators
// expect; guarantees are checked against it.
type Racks struct {
	Count                 int `yaml:"count" json:"count"`
	WorkersPerRack        int `yaml:"workers_per_rack" json:"workers_per_rack"`
	AcceleratorsPerWorker int `yaml:"accelerators_per_worker" json:"accelerators_per_worker"`
	CoresPerWorker        int `yaml:"cores_per_worker" json:"cores_per_worker"`
	MemoryGBPerWorker     int `yaml:"memory_gb_per_worker" json:"memory_gb_per_worker"`
}

// Customer declares a tenant.
type Customer struct {
	Name        structs.Customer `yaml:"name" json:"name"`
	Weight      float64          `yaml:"weight" json:"weight"`             // relative share of the accelerators beyond the guarantees
	TokenSHA256 []string         `yaml:"token_sha256" json:"token_sha256"` // hex; several while a token is rotated
	Guarantees  []Guarantee      `yaml:"guarantees" json:"guarantees"`
	Quota       Quota            `yaml:"quota" json:"quota"`
}

// Guarantee declares Count cells of Size adjacent accelerators each in one data centre.
type Guarantee struct {
	DataCentre structs.DataCentre `yaml:"data_centre" json:"data_centre"`
	Size       int                `yaml:"size" json:"size"`
	Count      int                `yaml:"count" json:"count"`
}

// Quota bounds what a customer may use at once in one data centre, borrowed accelerators included. 0 means no bound.
type Quota struct {
	Accelerators int `yaml:"accelerators" json:"accelerators"`
}

// Service declares a service: its dependencies, the tasks that are kept running for it, its minions and its kinds of
// requests.
type Service struct {
	Name      structs.ServiceName   `yaml:"name" json:"name"`
	DependsOn []structs.ServiceName `yaml:"depends_on" json:"depends_on"`
	Tasks     []ServiceTask         `yaml:"tasks" json:"tasks"`
	Minions   *Minions              `yaml:"minions" json:"minions"` // nil: the service takes no requests
	Kinds     []RequestKind         `yaml:"kinds" json:"kinds"`
}

// ServiceTask declares tasks that are kept running in each listed data centre.
type ServiceTask struct {
	Name         string               `yaml:"name" json:"name"`
	Customer     structs.Customer     `yaml:"customer" json:"customer"` // whose guarantees and quota the tasks use; empty: the operator's
	Count        int                  `yaml:"count" json:"count"`
	Accelerators int                  `yaml:"accelerators" json:"accelerators"`
	Urgency      int                  `yaml:"urgency" json:"urgency"`
	DataCentres  []structs.DataCentre `yaml:"data_centres" json:"data_centres"`
}

// Minions declares the limits of one minion. They apply to all entry instances together.
type Minions struct {
	Slots       int `yaml:"slots" json:"slots"`
	Connections int `yaml:"connections" json:"connections"`
}

// RequestKind declares a kind of request.
type RequestKind struct {
	Name       structs.KindName `yaml:"name" json:"name"`
	Urgency    int              `yaml:"urgency" json:"urgency"`
	Deadline   time.Duration    `yaml:"deadline" json:"deadline"`
	Idempotent bool             `yaml:"idempotent" json:"idempotent"`
	Share      float64          `yaml:"share" json:"share"`       // part of the service's slots that is reserved for this kind, 0 to 1
	RunTime    time.Duration    `yaml:"run_time" json:"run_time"` // expected run time; real ones often differ widely
}

// JobKind declares a kind of job.
type JobKind struct {
	Name            structs.KindName `yaml:"name" json:"name"`
	Urgency         int              `yaml:"urgency" json:"urgency"`
	MaxAccelerators int              `yaml:"max_accelerators" json:"max_accelerators"`
	MaxRunTime      time.Duration    `yaml:"max_run_time" json:"max_run_time"`
	Checkpoint      time.Duration    `yaml:"checkpoint" json:"checkpoint"` // longest time a checkpoint takes, at most 5 s
	MaxAttempts     int              `yaml:"max_attempts" json:"max_attempts"`
}

// Limits bounds what the system holds on behalf of callers.
type Limits struct {
	CallersPerCustomer int `yaml:"callers_per_customer" json:"callers_per_customer"`
	QueuedRequests     int `yaml:"queued_requests" json:"queued_requests"` // per entry instance and service
	QueuedJobs         int `yaml:"queued_jobs" json:"queued_jobs"`         // per data centre
	RequestBodyBytes   int `yaml:"request_body_bytes" json:"request_body_bytes"`
}
