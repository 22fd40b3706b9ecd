package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

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

// Guards against one row of the list, which another program may write, that keeps the whole list from being read: the instances that
// have joined or left since would never be noticed.
func TestUnreadableRowsOfTheListAreLeftOut(t *testing.T) {
	const first, second = `{"id":"a","role":"entry","data_centre":"d","address":"a:1","state":"live"}`, `{"id":"b","role":"minion","data_centre":"d","address":"b:1","state":"live"}`
	for name, row := range map[string]string{
		"number as ID":      `{"id":7}`,
		"number":            `1e400`,
		"array":             `["a"]`,
		"nested too deeply": strings.Repeat(`{"a":[`, 20_000) + `1` + strings.Repeat(`]}`, 20_000),
		"nested in a field": `{"id":"c","address":` + strings.Repeat(`[`, 20_000) + strings.Repeat(`]`, 20_000) + `}`,
	} {
		got, err := listOf(t, `{"revision":3, "as_of":"2026-12-05T10:00:00Z", "instances":[`+first+`, `+row+` ,`+second+`]}`)
		assert.NilError(t, err, name)
		assert.Equal(t, got.Revision, uint64(3), name)
		assert.Assert(t, got.AsOf.Equal(time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)), name)
		assert.Equal(t, got.Unreadable, 1, name)
		assert.Equal(t, len(got.Instances), 2, name)
		assert.Equal(t, got.Instances[0].ID+got.Instances[1].ID, "ab", name)
	}
}

// Guards against a list that counts as read although a part of it is missing, so that instances seem to have ended.
func TestListThatIsCutShortIsNotRead(t *testing.T) {
	for _, body := range []string{``, `[]`, `{"instances":7}`, `{"revision":"x","instances":[]}`, `{"instances":[{"id":7}`, `{"instances":[{"id":7}]`, `{"instances":[{"id":7},{"id":"a"`} {
		_, err := listOf(t, body)
		assert.ErrorContains(t, err, "cannot read", body)
	}
}

// listOf returns what is understood of an answer of the instance list.
func listOf(t *testing.T, body string) (platform.InstanceList, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	defer server.Close()
	client := platform.NewHTTPClient()
	defer client.CloseIdleConnections()
	return platform.NewList(client, server.URL).Get(t.Context())
}
