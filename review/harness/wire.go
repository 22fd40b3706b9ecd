package harness

import (
	"embed"
	"encoding/json"
	"fmt"
	"strings"
	"text/template"
	"time"
)

// wireFiles hold the platform's names and messages as the stand-ins and the clients speak them.
//
//go:embed wire
var wireFiles embed.FS

// wire holds the names that the code uses.
var wire = loadNames()

// names are calls, fields, headers and topics of the platform.
type names struct {
	ReadinessCall   string `json:"readiness_call"`
	StartCall       string `json:"start_call"`
	StopCall        string `json:"stop_call"`
	HoldCall        string `json:"hold_call"`
	PaceCall        string `json:"pace_call"`
	Token           string `json:"token"`            // field of an order: the fencing token
	AcknowledgedEnd string `json:"acknowledged_end"` // field of a hold: the ends up to this number may be forgotten
	TargetHeader    string `json:"target_header"`    // the worker for which a call is meant
	DeadlineHeader  string `json:"deadline_header"`  // how long a client waits
	OperatorTopic   string `json:"operator_topic"`
	WorkersTopic    string `json:"workers_topic"`
}

func loadNames() names {
	var n names
	data, err := wireFiles.ReadFile("wire/names.json")
	if err == nil {
		err = json.Unmarshal(data, &n)
	}
	if err != nil {
		panic(fmt.Sprintf("names of the platform: %v", err)) // the file is part of the program
	}
	return n
}

// message fills in one of the messages.
func message(file string, values any) (string, error) {
	t, err := template.ParseFS(wireFiles, "wire/"+file)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	err = t.Execute(&out, values)
	return out.String(), err
}

// TimedJob returns the body of a job with one occurrence, of two tasks, that is due at the given time.
func TimedJob(takes time.Duration, due time.Time) (string, error) {
	return message("timed-job.json", map[string]int64{"TakesMS": takes.Milliseconds(), "DueMS": due.UnixMilli()})
}
