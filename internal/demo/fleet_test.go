package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodnotch.example/dogwoodnotch/internal/api"
	"dogwoodnotch.example/dogwoodnotch/internal/configuration"
)

const (
	fleetTimeout  = 2 * time.Minute
	changeRepeats = 20                     // published changes per subtest
	changeBound   = 5 * time.Second        // limit until a change is in force everywhere (section 1.1 of docs/design.md, invariant 8)
	changePoll    = 10 * time.Millisecond  // interval between two polls of the version in force
	changeGap     = 200 * time.Millisecond // pause between two changes
)

// TestFleet checks a running fleet under load. The subtests share one fleet, because starting it takes seconds.
func TestFleet(t *testing.T) {
	ctx, r := startFleet(t, fleetTimeout)
	loadContext, stopLoad := context.WithCancel(ctx)
	l := startLoad(loadContext, r)
	defer l.group.Wait()
	defer stopLoad()
	c := newChanges(t, r)
	t.Run("leaving minion", func(t *testing.T) { checkLeaving(ctx, t, r) })
	t.Run("change in force", func(t *testing.T) { c.publishAndCheck(ctx, t, "alone", nil) })
	t.Run("change in force while an instance is killed", func(t *testing.T) {
		c.publishAndCheck(ctx, t, "one instance killed", c.run.fleet.entries)
	})
}

// changes publishes successive versions of a text.
type changes struct {
	run     *run
	text    string
	version uint64 // newest accepted version
}

func newChanges(t *testing.T, r *run) *changes {
	data, err := os.ReadFile(r.options.Text)
	assert.NilError(t, err)
	return &changes{run: r, text: string(data), version: 1}
}

// publishAndCheck guards against a published change that is not in force at each of the 9 instances within 5 s. If there are
// victims, one of them is killed while each change is published, but never the instance that publishes it. It is restarted at the
// same address once the others have the change, and must have it within the same 5 s.
func (c *changes) publishAndCheck(ctx context.Context, t *testing.T, name string, victims []*entry) {
	var worst time.Duration
	for i := range changeRepeats {
		published := make(chan time.Time, 1)
		go func() { published <- c.publish(ctx, i) }()
		var victim *entry
		if len(victims) > 0 {
			victim = victims[(i+1)%len(victims)]
			victim.killed.Store(true)
			c.run.processes[victim.id].Kill()
		}
		publishedAt := <-published
		assert.Assert(t, !publishedAt.IsZero(), "change %d was not accepted", i)
		c.version++
		for index, e := range c.run.fleet.entries {
			if e != victim {
				c.checkInForce(ctx, t, index, publishedAt)
			}
		}
		if victim != nil {
			index := slices.Index(c.run.fleet.entries, victim)
			assert.NilError(t, c.run.startProcess(c.run.fleet.entryProcesses[index]))
			c.checkInForce(ctx, t, index, publishedAt)
		}
		worst = max(worst, time.Since(publishedAt))
		pause(ctx, changeGap)
	}
	fmt.Printf("change in force at %d instances, %s: worst %v of %d\n", len(c.run.fleet.entries), name, worst.Round(time.Millisecond), changeRepeats)
}

func (c *changes) checkInForce(ctx context.Context, t *testing.T, index int, publishedAt time.Time) {
	t.Helper()
	e := c.run.fleet.entries[index]
	assert.Assert(t, c.waitInForce(ctx, e, publishedAt.Add(changeBound)), "version %d is not in force at %s after %v", c.version, e.id, changeBound)
}

// publish publishes the next text at one instance, retrying with the same id until it is accepted. It returns the start time of
// the accepted call, or the zero time if no call was accepted.
func (c *changes) publish(ctx context.Context, i int) time.Time {
	text := strings.Replace(c.text, "queued_jobs: 20000", fmt.Sprintf("queued_jobs: %d", 20000+c.version), 1)
	body, _ := json.Marshal(configuration.PublishRequest{BaseVersion: c.version, PublishID: fmt.Sprintf("change-%d", c.version), Author: "test", Text: text})
	target := "http://" + c.run.fleet.entries[i%entryInstances].address + "/v1/config"
	for ctx.Err() == nil {
		started := time.Now()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
		if err != nil {
			return time.Time{}
		}
		request.Header.Set("Authorization", "Bearer "+operatorToken)
		response, err := c.run.client.Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return started
			}
		}
		pause(ctx, changePoll)
	}
	return time.Time{}
}

// waitInForce waits until an instance has the newest version in force. It returns false if that takes until after the deadline.
func (c *changes) waitInForce(ctx context.Context, e *entry, deadline time.Time) bool {
	for {
		version := c.versionInForce(ctx, e, deadline)
		if time.Now().After(deadline) {
			return false
		}
		if version == c.version {
			return true
		}
		pause(ctx, changePoll)
	}
}

// versionInForce returns the version that is in force at an instance, or 0 if the call failed.
func (c *changes) versionInForce(ctx context.Context, e *entry, deadline time.Time) uint64 {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.address+"/v1/config", nil)
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := c.run.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var body api.ConfigBody
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&body) != nil {
		return 0
	}
	return body.InForce
}
