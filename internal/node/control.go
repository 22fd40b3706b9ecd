package node

import (
	"encoding/json"
	"net/http"

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
}

func (n *Node) dump(w http.ResponseWriter, _ *http.Request) {
	state := dumpState{Instance: n.settings.Instance, Incarnation: n.incarnation, Ready: n.api.Jobs.Ready()}
	if c := n.current.Get(); c != nil {
		state.Configuration = c.Version
	}
	holder := n.elector.Current()
	state.Term, state.Scheduler = holder.Term, holder.Holder
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		n.scope.Counter("dumps_failed").Inc(1) // the client closed the connection
	}
}
