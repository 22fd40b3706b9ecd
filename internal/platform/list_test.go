package platform_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/instancelist"
)

// Guards against sending an unchanged list again, and against missing a change.
func TestListIsSentOnlyWhenChanged(t *testing.T) {
	service := instancelist.New()
	var unchanged int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		service.ServeHTTP(recorder, r)
		if recorder.Code == http.StatusNotModified {
			unchanged++
		}
		w.Header().Set("ETag", recorder.Header().Get("ETag"))
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	client := platform.NewHTTPClient()
	defer client.CloseIdleConnections()
	list := platform.NewList(client, server.URL)
	read := func(instances, notSent int) platform.InstanceList {
		t.Helper()
		got, err := list.Get(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(got.Instances), instances)
		assert.Equal(t, unchanged, notSent)
		return got
	}
	service.Put(platform.Instance{ID: "a", Role: platform.RoleEntry})
	first := read(1, 0)
	assert.Assert(t, read(1, 1).AsOf.Equal(first.AsOf))
	service.Put(platform.Instance{ID: "b", Role: platform.RoleEntry})
	read(2, 1)
	list.Forget()
	assert.Assert(t, read(2, 1).AsOf.After(first.AsOf))
	service.SetFaults(instancelist.Faults{Outage: true})
	_, err := list.Get(t.Context())
	assert.ErrorContains(t, err, "cannot read")
	service.SetFaults(instancelist.Faults{})
	read(2, 2)
}
