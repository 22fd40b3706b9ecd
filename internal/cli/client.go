package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/api"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

// Limits of calls to an instance.
const (
	dialTimeout = 3 * time.Second
	// answerTimeout bounds one call. It exceeds the longest wait of a job call, 60 s.
	answerTimeout  = 75 * time.Second
	maxAnswerBytes = 256 << 20 // large enough for a state dump, the largest answer
)

// client calls the HTTP interface of an entry instance.
type client struct {
	http  *http.Client
	base  string
	token string
}

func newClient(base, token string) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &client{
		http:  &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}},
		base:  withScheme(base),
		token: token,
	}
}

func withScheme(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}

// call sends a request (nil: no body) and decodes the answer. An error answer becomes an error of its kind. The error has
// the kind Unavailable when no connection could be made, and Unknown when no complete answer was received.
func (c *client) call(ctx context.Context, method, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	response, err := c.send(ctx, method, path, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errkind.Wrap(err, errkind.Unknown, "repeat the command", "the answer of %s is incomplete", c.base)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return errorFromAnswer(response.StatusCode, data, answer)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return errkind.Wrap(err, errkind.Internal, "check that --server is an entry instance", "cannot decode the answer of %s", c.base)
	}
	return nil
}

// send returns the server's answer, whatever its status. The caller must close its body.
func (c *client) send(ctx context.Context, method, path string, request any) (*http.Response, error) {
	var body io.Reader
	if request != nil {
		data, err := json.Marshal(request)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.Internal, "report this fault", "cannot encode the request")
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "give a URL such as http://10.0.0.1:7100", "--server is not a valid URL")
	}
	r.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, c.sendError(err)
	}
	return response, nil
}

// sendError returns the error for a request without an answer: Unavailable when no connection could be made, else Unknown.
func (c *client) sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errkind.Wrap(err, errkind.Unavailable, "check --server and that the instance runs", "cannot connect to %s", c.base)
	}
	return errkind.Wrap(err, errkind.Unknown, "repeat the command; the server recognises a repetition", "%s did not answer", c.base)
}

// errorFromAnswer returns the error for an error answer. For a lost race it also decodes the answer, which has the
// difference to the current text.
func errorFromAnswer(status int, data []byte, answer any) error {
	var body api.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Kind == "" {
		return errkind.New(errkind.Internal, "check that --server is an entry instance", "the server answered with status %d", status)
	}
	for _, kind := range errorKinds {
		if kind.Code != body.Kind {
			continue
		}
		if kind == errkind.LostRace {
			_ = json.Unmarshal(data, answer) // on failure only the difference is missing
		}
		return errkind.New(kind, body.Remedy, "%s", body.Message)
	}
	return errkind.New(errkind.Internal, body.Remedy, "%s: %s", body.Kind, body.Message)
}

// retry repeats call while its error has the kind Unknown or Unavailable, until ctx ends.
func retry(ctx context.Context, call func() error) error {
	const delay = 500 * time.Millisecond
	for {
		err := call()
		retryable := errkind.Is(err, errkind.Unknown) || errkind.Is(err, errkind.Unavailable)
		if err == nil || !retryable {
			return err
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return err
		}
	}
}
