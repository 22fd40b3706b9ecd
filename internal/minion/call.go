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
	keptFor        = 15 * time.Second // idle connections; below what HTTP servers usually keep
	maxHeaderBytes = 64 << 10
)

// Remedies of this package's errors.
const (
	remedyRetry   = "send the request again"
	remedyUnknown = "a request of an idempotent kind may be sent again; any other may be repeated only with the same key"
)

// Call is one request for a minion.
type Call struct {
	RequestID   string
	Kind        structs.KindName
	ContentType string
	Body        []byte
	Deadline    time.Time
}

// Answer is a minion's complete answer.
type Answer struct {
	Status      int    `msgpack:"status"`
	ContentType string `msgpack:"content_type"`
	Body        []byte `msgpack:"body"`
}

// Result tells what is known about a call. Answer is set when Outcome is OutcomeAnswered, Err otherwise.
type Result struct {
	Outcome structs.Outcome
	Answer  *Answer
	Err     error
}

func notRun(err error) Result  { return Result{Outcome: structs.OutcomeNotRun, Err: err} }
func unknown(err error) Result { return Result{Outcome: structs.OutcomeUnknown, Err: err} }

// newTransport returns a transport that holds at most conns connections to a minion.
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
		IdleConnTimeout:        keptFor,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// send sends one request and reads the whole answer. A request is reported as not run only when the minion said so or
// when no byte of it was written and none can be written any more.
func send(ctx context.Context, transport *http.Transport, address string, call Call) Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	attempt := &attempt{}
	request, err := newRequest(httptrace.WithClientTrace(ctx, attempt.trace()), address, call)
	if err != nil {
		return notRun(errkind.Wrap(err, errkind.Internal, remedyRetry, "cannot build the request"))
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return failed(err, attempt.abandon())
	}
	defer response.Body.Close()
	if err := ownAnswer(response, call.RequestID); err != nil {
		attempt.abandon()
		return unknown(err)
	}
	return readAnswer(response)
}

// newRequest leaves out the Idempotency-Key header: net/http repeats a request that has it after a lost connection.
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

func failed(err error, sent bool) Result {
	if !sent {
		return notRun(errkind.Wrap(err, errkind.Unavailable, remedyRetry, "minion could not be reached"))
	}
	return unknown(errkind.Wrap(err, errkind.Unknown, remedyUnknown, "minion did not answer"))
}

// ownAnswer refuses an answer that names another request, which an earlier exchange may have left on the connection.
func ownAnswer(response *http.Response, id string) error {
	got := response.Header.Get(structs.HeaderRequestID)
	if got == "" || got == id {
		return nil
	}
	return errkind.New(errkind.Unknown, remedyUnknown, "minion answered another request (%.64q)", got)
}

func readAnswer(response *http.Response) Result {
	if refusedByMinion(response) {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHeaderBytes)) // so that the connection can be kept
		return notRun(errkind.Wrap(errRefused, errkind.Unavailable, remedyRetry, "minion did not run the request"))
	}
	body, err := readBody(response)
	if err != nil {
		return unknown(errkind.Wrap(errors.Join(errIncomplete, err), errkind.Unknown, remedyUnknown, "minion's answer is not usable"))
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

// readBody reads the whole body. A body without a length that ends with the connection is refused, because its end
// cannot be told from a lost connection.
func readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		return nil, errors.New("answer has neither a length nor chunks")
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

// connectionRefused reports whether no process listens at the minion's address.
func connectionRefused(err error) bool { return err != nil && platform.ConnectionRefused(err) }
