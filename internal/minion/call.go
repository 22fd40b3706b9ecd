package minion

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Bounds of the connections to one minion.
const (
	dialTimeout    = time.Second
	idleTimeout    = 15 * time.Second // below the usual idle timeout of HTTP servers, so that they rarely close first
	maxHeaderBytes = 64 << 10
)

// Remedies of this package's errors.
const (
	remedyRetry   = "send the request again"
	remedyUnknown = "a request of an idempotent kind may be sent again; any other may be repeated only with the same key"
)

// Call is a request to be run by a minion.
type Call struct {
	RequestID   string
	Kind        structs.KindName
	ContentType string
	Body        []byte
	Deadline    time.Time
}

// Answer is a minion's complete response.
type Answer struct {
	Status      int    `msgpack:"status"`
	ContentType string `msgpack:"content_type"`
	Body        []byte `msgpack:"body"`
}

// Result is the outcome of a call. Answer is set if Outcome is OutcomeAnswered, and Err otherwise.
type Result struct {
	Outcome structs.Outcome
	Answer  *Answer
	Err     error
}

func resultNotRun(err error) Result  { return Result{Outcome: structs.OutcomeNotRun, Err: err} }
func resultUnknown(err error) Result { return Result{Outcome: structs.OutcomeUnknown, Err: err} }

// newTransport returns a transport with at most conns connections to a minion.
func newTransport(conns int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
	return &http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// send sends a request once and reads the whole response. The outcome is "not run" only if the minion says so, or if no
// byte of the request was written and none can be written any more.
func send(ctx context.Context, transport *http.Transport, address string, call Call) Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	attempt := &attempt{}
	request, err := newRequest(httptrace.WithClientTrace(ctx, attempt.trace()), address, call)
	if err != nil {
		return resultNotRun(errkind.Wrap(err, errkind.Internal, remedyRetry, "cannot build the request"))
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return failedCall(err, attempt.abandon())
	}
	defer response.Body.Close()
	if err := checkRequestID(response, call.RequestID); err != nil {
		attempt.abandon()
		return resultUnknown(err)
	}
	return readAnswer(response)
}

// newRequest returns the HTTP request for a call. It must not have an Idempotency-Key header, because net/http would
// then send the request again after a lost connection.
func newRequest(ctx context.Context, address string, call Call) (*http.Request, error) {
	target := "http://" + address + "/run"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	remaining := max(1, time.Until(call.Deadline).Milliseconds())
	request.Header.Set(structs.HeaderRequestID, call.RequestID)
	request.Header.Set(structs.HeaderKind, string(call.Kind))
	request.Header.Set(structs.HeaderTimeoutMS, strconv.FormatInt(remaining, 10))
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	return request, nil
}

// failedCall returns the result of a call without a response. sent reports whether part of the request may have been
// sent.
func failedCall(err error, sent bool) Result {
	if !sent {
		return resultNotRun(errkind.Wrap(err, errkind.Unavailable, remedyRetry, "minion is unreachable; the request was not sent"))
	}
	return resultUnknown(errkind.Wrap(err, errkind.Unknown, remedyUnknown, "minion did not answer"))
}

// checkRequestID returns an error if the response names another request. Such a response may be left over on the
// connection from an earlier request.
func checkRequestID(response *http.Response, id string) error {
	got := response.Header.Get(structs.HeaderRequestID)
	if got == "" || got == id {
		return nil
	}
	return errkind.New(errkind.Unknown, remedyUnknown, "minion answered another request (%.64q)", got)
}

func readAnswer(response *http.Response) Result {
	if refusedByMinion(response) {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHeaderBytes)) // lets the transport reuse the connection
		return resultNotRun(errkind.Wrap(errRefused, errkind.Unavailable, remedyRetry, "minion did not run the request"))
	}
	body, err := readBody(response)
	if err != nil {
		return resultUnknown(errkind.Wrap(errors.Join(errIncomplete, err), errkind.Unknown, remedyUnknown, "minion's answer is incomplete or too large"))
	}
	answer := &Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}
	return Result{Outcome: structs.OutcomeAnswered, Answer: answer}
}

var (
	errRefused    = errors.New("minion refused the request")
	errIncomplete = errors.New("answer is incomplete")
)

func refusedByMinion(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(structs.HeaderMinionOutcome) == string(structs.OutcomeNotRun)
}

// readBody reads the whole body. It refuses a body that is delimited only by the end of the connection, because a lost
// connection would look like a complete body.
func readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		return nil, errors.New("answer has neither a Content-Length nor chunked encoding")
	}
	if response.ContentLength > structs.MaxBodyBytes {
		return nil, fmt.Errorf("answer has %d bytes, more than %d", response.ContentLength, structs.MaxBodyBytes)
	}
	var buffer bytes.Buffer
	if response.ContentLength > 0 {
		buffer.Grow(int(response.ContentLength) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(response.Body, structs.MaxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if n > structs.MaxBodyBytes {
		return nil, fmt.Errorf("answer has more than %d bytes", structs.MaxBodyBytes)
	}
	return buffer.Bytes(), nil
}

// connectionRefused reports whether the call failed because no process listens on the minion's address.
func connectionRefused(err error) bool { return err != nil && platform.ConnectionRefused(err) }
