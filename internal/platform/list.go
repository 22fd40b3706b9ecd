package platform

import (
	"context"
	"net/http"
	"sync"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

// List is a client of the instance list. It sends the ETag of the last answer, so that a list that has not changed is
// neither sent nor decoded again: with 38,000 workers it has several MB and is read twice a second.
type List struct {
	client *http.Client
	base   string

	mu   sync.Mutex
	tag  string
	last InstanceList
}

// NewList returns a client of the instance list at base, a URL.
func NewList(client *http.Client, base string) *List { return &List{client: client, base: base} }

// Get returns the present list, which must not be changed. An unchanged list has the AsOf of the answer that brought it.
func (l *List) Get(ctx context.Context) (InstanceList, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := l.get(ctx)
	if err != nil {
		return InstanceList{}, errkind.Wrap(err, errkind.Unavailable, "check the instance list", "cannot read the instance list")
	}
	return list, nil
}

// Forget makes the next Get bring the whole list with a new AsOf.
func (l *List) Forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag = ""
}

func (l *List) get(ctx context.Context) (InstanceList, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+"/instances", nil)
	if err != nil {
		return InstanceList{}, err
	}
	l.mu.Lock()
	tag, last := l.tag, l.last
	l.mu.Unlock()
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return InstanceList{}, err
	}
	defer response.Body.Close()
	if tag != "" && response.StatusCode == http.StatusNotModified {
		return last, nil
	}
	var list InstanceList
	if err := decode(response, &list); err != nil {
		return InstanceList{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag, l.last = response.Header.Get("ETag"), list
	return list, nil
}
