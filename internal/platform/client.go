package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Limits of calls to the platform.
const (
	dialTimeout         = time.Second
	idleTimeout         = 30 * time.Second
	maxIdleConnsPerHost = 4
	maxAnswerBytes      = 64 << 20
	callTimeout         = 3 * time.Second // for one call, unless the caller's context ends earlier
)

// ErrNotAppended is in the chain of an error of Append when the record is certainly not in the log. After any other error
// the record may or may not have been appended.
var ErrNotAppended = errors.New("record was not appended")

// RefusedError is the error for a command that a worker refused. The command had no effect.
type RefusedError struct{ Refusal Refusal }

// Error returns the worker's reason and the newest owner and epochs that it has seen.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker refused: %s (owner %s, epoch %d, scheduler epoch %d)",
		e.Refusal.Reason, e.Refusal.Owner, e.Refusal.Epoch, e.Refusal.SchedulerEpoch)
}

// NewHTTPClient returns a client for calls to the platform. It never follows redirects.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// ConnectionRefused reports whether err means that the remote host refused the connection, so no process listens there.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// NotSent reports whether err means that no connection was established, so no byte of the request was sent.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Log is a client of the log service.
type Log struct {
	client *http.Client
	base   string
}

// NewLog returns a client of the log service at base, a URL such as http://10.0.0.1:7000.
func NewLog(client *http.Client, base string) *Log { return &Log{client: client, base: base} }

// Append appends one record to a stream and returns its offset. ErrNotAppended describes its errors.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	target := l.base + "/streams/" + url.PathEscape(stream) + "/records"
	var answer AppendResponse
	status, err := call(ctx, l.client, callTimeout, http.MethodPost, target, AppendRequest{Data: data}, &answer)
	if NotSent(err) || (err != nil && status >= 400) {
		return 0, errkind.Wrap(errors.Join(ErrNotAppended, err), errkind.Unavailable, "try again later", "the log service did not append the record")
	}
	if err != nil {
		return 0, errkind.Wrap(err, errkind.Unknown, "read the stream to find out whether the record was appended", "the log service did not confirm the record")
	}
	return answer.Offset, nil
}

// Read returns at most limit records starting at offset from. When there are none, it waits for one for up to wait.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (ReadResponse, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("max", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	target := l.base + "/streams/" + url.PathEscape(stream) + "/records?" + query.Encode()
	var answer ReadResponse
	_, err := call(ctx, l.client, callTimeout+wait, http.MethodGet, target, nil, &answer)
	if err != nil {
		return ReadResponse{}, errkind.Wrap(err, errkind.Unavailable, "check the log service", "cannot read stream %s", stream)
	}
	return answer, nil
}

// Worker is a client of one worker.
type Worker struct {
	client *http.Client
	base   string
}

// NewWorker returns a client of the worker with the given id at address (host:port).
func NewWorker(client *http.Client, address string, id structs.WorkerID) *Worker {
	return &Worker{client: client, base: "http://" + address + "/workers/" + url.PathEscape(string(id))}
}

// Session claims or releases the worker. It returns a *RefusedError when the worker refuses.
func (w *Worker) Session(ctx context.Context, request SessionRequest) (WorkerState, error) {
	return w.state(ctx, "/session", request)
}

// Renew renews the session and the task leases. It returns a *RefusedError when the worker refuses.
func (w *Worker) Renew(ctx context.Context, request RenewRequest) (WorkerState, error) {
	return w.state(ctx, "/renew", request)
}

// Hold reserves accelerators for a task. It returns a *RefusedError when the worker refuses.
func (w *Worker) Hold(ctx context.Context, request HoldRequest) error {
	return w.command(ctx, "/hold", request)
}

// Start starts a task that has a reservation. It is idempotent. It returns a *RefusedError when the worker refuses.
func (w *Worker) Start(ctx context.Context, command TaskCommand) error {
	return w.command(ctx, "/start", command)
}

// Release cancels the reservation of a task, or kills the task when it already runs.
func (w *Worker) Release(ctx context.Context, command TaskCommand) error {
	return w.command(ctx, "/release", command)
}

// Stop starts to stop a task, after a checkpoint when the command asks for one. It does not wait until the task has ended.
func (w *Worker) Stop(ctx context.Context, command TaskCommand) error {
	return w.command(ctx, "/stop", command)
}

// Throttle limits a task to a share of its accelerators.
func (w *Worker) Throttle(ctx context.Context, command TaskCommand) error {
	return w.command(ctx, "/throttle", command)
}

// Forget lets the worker drop the record of an ended task. Call it only when the task's result has been stored.
func (w *Worker) Forget(ctx context.Context, command TaskCommand) error {
	return w.command(ctx, "/forget", command)
}

func (w *Worker) state(ctx context.Context, path string, request any) (WorkerState, error) {
	var answer WorkerState
	_, err := call(ctx, w.client, callTimeout, http.MethodPost, w.base+path, request, &answer)
	return answer, err
}

func (w *Worker) command(ctx context.Context, path string, request any) error {
	_, err := call(ctx, w.client, callTimeout, http.MethodPost, w.base+path, request, nil)
	return err
}

// StatusOfMinion asks the minion at address (host:port) for its status.
func StatusOfMinion(ctx context.Context, client *http.Client, address string) (MinionStatus, error) {
	var answer MinionStatus
	_, err := call(ctx, client, callTimeout, http.MethodGet, "http://"+address+"/status", nil, &answer)
	return answer, err
}

// call sends one JSON request and decodes the JSON answer. The returned status is 0 when no answer was received.
func call(ctx context.Context, client *http.Client, timeout time.Duration, method, target string, request, answer any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body io.Reader
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(encoded)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return 0, err
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := client.Do(httpRequest)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, decodeAnswer(response, answer)
}

// decodeAnswer decodes the body of a successful answer.
func decodeAnswer(response *http.Response, answer any) error {
	data, err := readAnswer(response)
	if err != nil || answer == nil {
		return err
	}
	return json.Unmarshal(data, answer)
}

// readAnswer returns the body of a successful answer. Status 409 becomes a *RefusedError, any other status from 300 on a plain error.
func readAnswer(response *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusConflict {
		refused := &RefusedError{}
		if err := json.Unmarshal(data, &refused.Refusal); err != nil {
			return nil, err
		}
		return nil, refused
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("status %d: %.200s", response.StatusCode, data)
	}
	return data, nil
}
