package platform

import (
	"context"
	"net/http"
	"sync"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

// List is a client of the instance list. It sends the ETag of the last answer, so that an unchanged list is neither sent nor
// decoded again: with 38,000 workers it has several MB and is read twice a second.
type List struct {
	client *http.Client
	base   string

	mu     sync.Mutex
	etag   string
	cached InstanceList
}

// NewList returns a client of the instance list at base, a URL.
func NewList(client *http.Client, base string) *List { return &List{client: client, base: base} }

// Get returns the current list, which the caller must not change. While the list does not change, AsOf stays that of the
// first answer with its content.
func (l *List) Get(ctx context.Context) (InstanceList, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := l.get(ctx)
	if err != nil {
		return InstanceList{}, errkind.Wrap(err, errkind.Unavailable, "check the instance list", "cannot read the instance list")
	}
	return list, nil
}

// Forget drops the cached list, so that the next Get fetches the whole list with a new AsOf.
func (l *List) Forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag = ""
}

func (l *List) get(ctx context.Context) (InstanceList, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+"/instances", nil)
	if err != nil {
		return InstanceList{}, err
	}
	l.mu.Lock()
	etag, cached := l.etag, l.cached
	l.mu.Unlock()
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return InstanceList{}, err
	}
	defer response.Body.Close()
	if etag != "" && response.StatusCode == http.StatusNotModified {
		return cached, nil
	}
	var list InstanceList
	if err := decodeAnswer(response, &list); err != nil {
		return InstanceList{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag, l.cached = response.Header.Get("ETag"), list
	return list, nil
}
