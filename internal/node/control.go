package node

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// controlHandler serves metrics and the state dump.
func (n *Node) controlHandler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", n.metrics)
	r.HandleFunc("/v1/dump", n.dump).Methods(http.MethodGet)
	return n.clients.Buffered(r, controlRequests)
}

// dumpState is the body of the state dump.
type dumpState struct {
	Instance      string `json:"instance"`
	Incarnation   string `json:"incarnation"`
	Configuration int64  `json:"configuration_version"`
	Term          int64  `json:"term"`
	Scheduler     string `json:"scheduler"`
	Ready         bool   `json:"ready"`
	// Evacuated holds the data centres in which no task may start, as the instance knows them, and how old that view is; -1 without one.
	Evacuated         []string `json:"evacuated_data_centres"`
	OperatorViewAgeMS int64    `json:"operator_view_age_ms"`
}

func (n *Node) dump(w http.ResponseWriter, _ *http.Request) {
	state := dumpState{Instance: n.settings.Instance, Incarnation: n.incarnation, Ready: n.api.Jobs.Ready()}
	if c := n.current.Get(); c != nil {
		state.Configuration = c.Version
	}
	holder := n.elector.Current()
	state.Term, state.Scheduler = holder.Term, holder.Holder
	state.Evacuated, state.OperatorViewAgeMS = n.evacuations.List(), -1
	if age := n.api.CatalogFreshness.Age(time.Now()); age < math.MaxInt64 {
		state.OperatorViewAgeMS = age.Milliseconds()
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		n.scope.Counter("dumps_failed").Inc(1) // the client closed the connection
	}
}
