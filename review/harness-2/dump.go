package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// schedulerIndex returns which instance holds the scheduler's role, as the instances' state dumps say.
func (w *world) schedulerIndex() (int, error) {
	index := -1
	found := waitFor(5*time.Second, func() bool {
		_, answer := w.call(http.MethodGet, "http://"+w.instances[0].control+"/v1/dump", nil)
		var dump struct {
			Scheduler string `json:"scheduler"`
		}
		if json.Unmarshal([]byte(answer), &dump) != nil {
			return false
		}
		for i, n := range w.instances {
			if n.name == dump.Scheduler {
				index = i
			}
		}
		return index >= 0
	})
	if !found {
		return 0, fmt.Errorf("%w: no instance holds the scheduler's role", errCannotRun)
	}
	return index, nil
}
