// Package settings reads and checks the settings file of one entry instance.
package settings

import (
	"os"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/clientlimit"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/spec/strict"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Settings is the decoded settings file. It must not be changed after it was loaded.
type Settings struct {
	Instance             structs.InstanceID   `yaml:"instance" json:"instance"`
	DataCentre           structs.DataCentre   `yaml:"data_centre" json:"data_centre"`
	Region               string               `yaml:"region" json:"region"`
	Listen               string               `yaml:"listen" json:"listen"`                 // host:port of the HTTP interface
	PeerListen           string               `yaml:"peer_listen" json:"peer_listen"`       // host:port for other entry instances
	Advertise            string               `yaml:"advertise" json:"advertise"`           // ip:port that others connect to; default: listen
	PeerAdvertise        string               `yaml:"peer_advertise" json:"peer_advertise"` // ip:port that other entry instances connect to; default: peer_listen
	LogService           string               `yaml:"log_service" json:"log_service"`       // base URL of the log service
	InstanceList         string               `yaml:"instance_list" json:"instance_list"`   // base URL of the instance list
	PeerKeys             []PeerKey            `yaml:"peer_keys" json:"peer_keys"`
	OperatorTokensSHA256 []string             `yaml:"operator_tokens_sha256" json:"operator_tokens_sha256"` // SHA-256 digests in hex
	Timing               Timing               `yaml:"timing" json:"timing"`
	Clients              clientlimit.Settings `yaml:"clients" json:"clients"` // limits for HTTP clients
}

// Timing holds the durations that section 9 of docs/design.md explains.
type Timing struct {
	WorkerSessionTTL   time.Duration `yaml:"worker_session_ttl" json:"worker_session_ttl"`     // lifetime of a worker session and of the scheduler role without renewal
	WorkerSessionRenew time.Duration `yaml:"worker_session_renew" json:"worker_session_renew"` // interval between renewals of sessions and of the scheduler role
	TaskLease          time.Duration `yaml:"task_lease" json:"task_lease"`                     // how long a worker runs a task after the last renewal
	HoldTTL            time.Duration `yaml:"hold_ttl" json:"hold_ttl"`                         // reservation of accelerators for a task that has not started
	CheckpointGrace    time.Duration `yaml:"checkpoint_grace" json:"checkpoint_grace"`         // longest time for the checkpoint of a preempted task
	Heartbeat          time.Duration `yaml:"heartbeat" json:"heartbeat"`                       // interval to peers in the same data centre
	HeartbeatRemote    time.Duration `yaml:"heartbeat_remote" json:"heartbeat_remote"`         // interval to peers in other data centres
	SuspectAfter       time.Duration `yaml:"suspect_after" json:"suspect_after"`               // silence after which an instance of the same data centre is suspected
	ListPoll           time.Duration `yaml:"list_poll" json:"list_poll"`                       // interval of reads of the instance list
	MinionStatusPoll   time.Duration `yaml:"minion_status_poll" json:"minion_status_poll"`     // time between status requests to a minion
	ConfigPoll         time.Duration `yaml:"config_poll" json:"config_poll"`                   // longest wait of one long poll of the log
	DrainTimeout       time.Duration `yaml:"drain_timeout" json:"drain_timeout"`               // longest time for the drain of an instance
	KeyLifetime        time.Duration `yaml:"key_lifetime" json:"key_lifetime"`                 // validity of a request key
	FreezeThreshold    time.Duration `yaml:"freeze_threshold" json:"freeze_threshold"`         // pause of the process that makes its view out of date
	LogRetention       time.Duration `yaml:"log_retention" json:"log_retention"`               // how long the log keeps records
}

// DefaultTiming returns the defaults; their reasons are in section 9 of docs/design.md.
func DefaultTiming() Timing {
	return Timing{
		WorkerSessionTTL:   3 * time.Second,
		WorkerSessionRenew: time.Second,
		TaskLease:          15 * time.Second,
		HoldTTL:            5 * time.Second,
		CheckpointGrace:    5 * time.Second,
		Heartbeat:          250 * time.Millisecond,
		HeartbeatRemote:    time.Second,
		SuspectAfter:       1500 * time.Millisecond,
		ListPoll:           500 * time.Millisecond,
		MinionStatusPoll:   500 * time.Millisecond,
		ConfigPoll:         time.Second,
		DrainTimeout:       30 * time.Second,
		KeyLifetime:        10 * time.Minute,
		FreezeThreshold:    2 * time.Second,
		LogRetention:       time.Hour,
	}
}

// Check decodes settings and returns every problem in them. Timing values that are not given keep their defaults.
func Check(data []byte) (*Settings, []strict.Problem) {
	s := &Settings{Timing: DefaultTiming()}
	report := strict.Decode(data, s)
	if len(report.Problems()) == 0 {
		c := &checker{settings: s, report: report}
		c.checkAll()
		s.fillAddresses()
	}
	return s, report.Problems()
}

// Parse decodes and checks settings. Its error has the kind Invalid and a *strict.Error in its chain.
func Parse(data []byte) (*Settings, error) {
	s, problems := Check(data)
	if len(problems) > 0 {
		return nil, strict.AsError("the settings", problems)
	}
	return s, nil
}

// Load reads, decodes and checks a settings file. Its error has the kind NotFound or Invalid.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.NotFound, "give the path of a readable file", "cannot read the settings")
	}
	return Parse(data)
}

// fillAddresses sets the addresses that others connect to, where they are not given, to the listen addresses.
func (s *Settings) fillAddresses() {
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = s.PeerListen
	}
}
