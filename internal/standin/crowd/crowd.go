// Package crowd plays HTTP clients that keep to no limits: heads, bodies and connections without end, and responses that nobody reads.
package crowd

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Kind is the kind of a client.
type Kind string

// Kinds of clients.
const (
	LargeHeader    Kind = "large header"    // a head of many short lines just below net/http's default limit, never finished
	EndlessLine    Kind = "endless line"    // a head that is one line without end
	EndlessLines   Kind = "endless lines"   // a head of short lines without end
	EmptyLines     Kind = "empty lines"     // empty lines without end before and between requests
	SlowHeader     Kind = "slow header"     // a head that is sent a byte at a time
	EndlessChunk   Kind = "endless chunk"   // a chunked body whose first chunk has a size line without end
	EndlessTrailer Kind = "endless trailer" // a chunked body with trailers without end
	LargeBody      Kind = "large body"      // a body far over any limit
	SlowBody       Kind = "slow body"       // a body that is nearly complete and then stalls
	DenseBody      Kind = "dense body"      // a body within the limit whose JSON needs much more memory once it is decoded
	Unread         Kind = "unread"          // pipelined requests whose responses are not read
	Silent         Kind = "silent"          // a connection that is opened and left
	Occasional     Kind = "occasional"      // a connection that is kept open with a request now and then
)

// Kinds are all kinds of clients.
var Kinds = []Kind{
	LargeHeader, EndlessLine, EndlessLines, EmptyLines, SlowHeader, EndlessChunk, EndlessTrailer, LargeBody, SlowBody, DenseBody, Unread, Silent,
	Occasional,
}

// Timings and sizes of the clients.
const (
	dialTimeout        = time.Second
	redialDelay        = 20 * time.Millisecond // until a client whose connection was closed opens another one
	slowInterval       = 50 * time.Millisecond // between the bytes of a slow head or body
	occasionalInterval = 300 * time.Millisecond
	largeHeaderBytes   = 1000 << 10 // net/http's default limit is 1 MiB
	chunkBytes         = 8 << 10    // of one write of a client that sends as fast as it can
	denseBodyBytes     = 256 << 10
)

// Target is what the clients address.
type Target struct {
	Address string // host:port
	Host    string // host name that the requests carry
	Token   string // bearer token of a customer whose key has leaked
	Get     string // path that is answered to GET
	Post    string // path that takes POST with a body
	// Dense is the repeated part of the body of DenseBody, between DenseStart and DenseEnd.
	DenseStart, Dense, DenseEnd string
	SlowBodyBytes               int // size of the body of SlowBody
	// Pause is a pause after each part that is sent and before each new connection, for clients that are not to take all processor time.
	Pause time.Duration
}

// Run runs clients clients, with the kinds in turn, until ctx ends, and closes their connections. A client whose connection is closed
// opens another one.
func Run(ctx context.Context, target Target, clients int, kinds ...Kind) {
	payloads := target.payloads()
	var all sync.WaitGroup
	for i := range clients {
		kind := kinds[i%len(kinds)]
		all.Go(func() {
			for ctx.Err() == nil {
				runClient(ctx, target, kind, payloads[kind])
				wait(ctx, redialDelay+target.Pause)
			}
		})
	}
	all.Wait()
}

// payload is what a client sends: a start, and parts that are repeated, with a pause after each, until the connection or the run ends.
type payload struct {
	start, repeated string
	pause           time.Duration
	hold            bool // nothing is repeated: the connection is left open
}

func (t Target) payloads() map[Kind]payload {
	get := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", t.Get, t.Host, t.Token)
	post := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", t.Post, t.Host, t.Token)
	chunked := post + "Transfer-Encoding: chunked\r\n\r\n"
	dense := t.DenseStart + strings.Repeat(t.Dense, (denseBodyBytes-len(t.DenseStart)-len(t.DenseEnd))/max(len(t.Dense), 1)) + t.DenseEnd
	var lines strings.Builder
	for i := 0; lines.Len() < largeHeaderBytes; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return map[Kind]payload{
		LargeHeader:    {start: get + lines.String(), hold: true},
		EndlessLine:    {start: get + "A: ", repeated: strings.Repeat("x", chunkBytes)},
		EndlessLines:   {start: get, repeated: lines.String()[:64<<10]},
		EmptyLines:     {start: get + "\r\n", repeated: strings.Repeat("\r\n", chunkBytes/2)},
		SlowHeader:     {start: get + "A: ", repeated: "x", pause: slowInterval},
		EndlessChunk:   {start: chunked + "1;a=", repeated: strings.Repeat("x", chunkBytes)},
		EndlessTrailer: {start: chunked + "0\r\n", repeated: strings.Repeat("a: b\r\n", chunkBytes/6)},
		LargeBody:      {start: post + "Content-Length: 1073741824\r\n\r\n", repeated: strings.Repeat("x", chunkBytes)},
		SlowBody: {
			start:    post + fmt.Sprintf("Content-Length: %d\r\n\r\n", t.SlowBodyBytes) + t.DenseStart + strings.Repeat(" ", max(t.SlowBodyBytes-len(t.DenseStart)-1000, 0)),
			repeated: " ", pause: slowInterval,
		},
		DenseBody:  {start: "", repeated: post + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(dense)) + dense},
		Unread:     {start: "", repeated: strings.Repeat(get+"\r\n", 20)},
		Silent:     {hold: true},
		Occasional: {repeated: get + "\r\n", pause: occasionalInterval},
	}
}

// runClient opens one connection and plays a client on it until the connection or ctx ends.
func runClient(ctx context.Context, target Target, kind Kind, p payload) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	closed := make(chan struct{})
	if kind != Unread { // a client that does not read does not notice the end of its connection
		go func() {
			defer close(closed)
			buffer := make([]byte, 4<<10)
			for {
				if _, err := conn.Read(buffer); err != nil {
					return
				}
			}
		}()
	}
	if _, err := conn.Write([]byte(p.start)); err != nil {
		return
	}
	repeated := []byte(p.repeated)
	for !p.hold {
		if _, err := conn.Write(repeated); err != nil {
			return
		}
		select {
		case <-closed:
			return
		case <-ctx.Done():
			return
		case <-time.After(p.pause + target.Pause):
		}
	}
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
