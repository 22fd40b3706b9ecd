package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
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
	data, err := readAnswer(response)
	if err != nil {
		return InstanceList{}, err
	}
	list, err := decodeList(data)
	if err != nil {
		return InstanceList{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag, l.cached = response.Header.Get("ETag"), list
	return list, nil
}

// decodeList decodes an instance list. Rows that cannot be decoded are counted and left out, so that one of them does not keep the
// others from being read.
func decodeList(data []byte) (InstanceList, error) {
	var list InstanceList
	if json.Unmarshal(data, &list) == nil {
		return list, nil
	}
	members, err := splitObject(data)
	if err != nil {
		return InstanceList{}, fmt.Errorf("decode the instance list: %w", err)
	}
	list = InstanceList{}
	for name, into := range map[string]any{"revision": &list.Revision, "as_of": &list.AsOf} {
		if value, present := members[name]; present {
			if err := json.Unmarshal(value, into); err != nil {
				return InstanceList{}, fmt.Errorf("decode %s of the instance list: %w", name, err)
			}
		}
	}
	rows, err := splitArray(members["instances"])
	if err != nil {
		return InstanceList{}, fmt.Errorf("decode rows of the instance list: %w", err)
	}
	for _, row := range rows {
		var instance Instance
		if json.Unmarshal(row, &instance) != nil {
			list.Unreadable++
			continue
		}
		list.Instances = append(list.Instances, instance)
	}
	return list, nil
}

// splitObject returns the members of a JSON object. Unlike json.Unmarshal it accepts values that are nested to any depth.
func splitObject(data []byte) (map[string][]byte, error) {
	d := newTokens(data)
	if err := expect(d, '{'); err != nil {
		return nil, err
	}
	members := map[string][]byte{}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, err
		}
		value, err := skipValue(d, data)
		if err != nil {
			return nil, err
		}
		members[fmt.Sprint(name)] = value
	}
	return members, expect(d, '}')
}

// splitArray returns the elements of a JSON array.
func splitArray(data []byte) ([][]byte, error) {
	d := newTokens(data)
	if err := expect(d, '['); err != nil {
		return nil, err
	}
	var elements [][]byte
	for d.More() {
		element, err := skipValue(d, data)
		if err != nil {
			return nil, err
		}
		elements = append(elements, element)
	}
	return elements, expect(d, ']')
}

// newTokens returns a decoder for reading data token by token.
func newTokens(data []byte) *json.Decoder {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber() // accepts numbers of any size
	return d
}

// expect reads the next token, which must be the given delimiter.
func expect(d *json.Decoder, delimiter json.Delim) error {
	token, err := d.Token()
	if err != nil {
		return err
	}
	if token != delimiter {
		return fmt.Errorf("%v in place of %v", token, delimiter)
	}
	return nil
}

// skipValue reads the next value and returns its text in data.
func skipValue(d *json.Decoder, data []byte) ([]byte, error) {
	from := d.InputOffset()
	for depth := 0; ; {
		token, err := d.Token()
		if err != nil {
			return nil, err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return bytes.TrimLeft(data[from:d.InputOffset()], ",: \t\r\n"), nil
		}
	}
}
