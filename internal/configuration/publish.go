package configuration

import (
	"context"
	"errors"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/platform"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// publishTimeout is the longest time of a publish call: 3 s for the append, and 5 s in which the record must be in
// force.
const publishTimeout = 8 * time.Second

// Values of PublishResult.Result.
const (
	Accepted = "accepted"
	LostRace = "lost_race"
)

// PublishRequest asks to replace version BaseVersion by a text. The client chooses PublishID, an idempotency key, and
// uses it again on a retry.
type PublishRequest struct {
	BaseVersion uint64 `json:"base_version"`
	PublishID   string `json:"publish_id"`
	Author      string `json:"author"`
	Text        string `json:"text"`
}

// PublishResult is the result of a publish call.
type PublishResult struct {
	Result     string `json:"result"`               // Accepted or LostRace
	Version    uint64 `json:"version"`              // new version when accepted, otherwise the current one
	Difference string `json:"difference,omitempty"` // only for LostRace: diff from the current text to the refused one
}

// Publish checks and publishes a text. The error is of kind Invalid or Unavailable when the text was not published, and
// of kind Unknown when the log's answer was lost; a retry with the same id then returns the outcome.
func (s *Store) Publish(ctx context.Context, request PublishRequest) (PublishResult, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if err := request.check(); err != nil {
		return PublishResult{}, err
	}
	if s.reader.UpToDate().IsZero() {
		return PublishResult{}, errkind.New(errkind.Unavailable, "try again, or use another instance",
			"this instance has not read the log yet; the text was not published")
	}
	if entry, seen := s.fold.result(request.PublishID); seen {
		return s.resultOf(entry, request), nil
	}
	if version := s.fold.version(); request.BaseVersion < version {
		return s.lostRace(version, request), nil // versions never fall, so the record could not be accepted any more
	}
	return s.append(ctx, request)
}

func (s *Store) append(ctx context.Context, request PublishRequest) (PublishResult, error) {
	record := publishRecord{
		BaseVersion: request.BaseVersion,
		PublishID:   request.PublishID,
		Author:      request.Author,
		Time:        time.Now().UTC(),
		Text:        request.Text,
	}
	_, err := s.reader.Append(ctx, kindPublish, &record)
	if errors.Is(err, platform.ErrNotAppended) {
		return PublishResult{}, errkind.Wrap(err, errkind.Unavailable, "publish again with the same publish id", "the text was not published")
	}
	// The record may be in the log even if the answer was lost, so the outcome is always taken from the fold.
	waitErr := s.reader.WaitUntil(ctx, func() bool {
		_, seen := s.fold.result(request.PublishID)
		return seen
	})
	if entry, seen := s.fold.result(request.PublishID); seen {
		return s.resultOf(entry, request), nil
	}
	return PublishResult{}, errkind.Wrap(errors.Join(err, waitErr), errkind.Unknown,
		"publish again with the same publish id; it is never published twice", "the log did not confirm the text in time")
}

func (s *Store) resultOf(entry Entry, request PublishRequest) PublishResult {
	if entry.Accepted {
		return PublishResult{Result: Accepted, Version: entry.Version}
	}
	return s.lostRace(s.fold.version(), request)
}

func (s *Store) lostRace(version uint64, request PublishRequest) PublishResult {
	text, _ := s.fold.text(version)
	return PublishResult{Result: LostRace, Version: version, Difference: spec.Diff("current", text, "refused", request.Text)}
}

func (p PublishRequest) check() error {
	const remedy = "give 1 to 128 bytes"
	if p.PublishID == "" || len(p.PublishID) > structs.MaxIdentifierBytes {
		return errkind.New(errkind.Invalid, remedy, "publish_id has %d bytes", len(p.PublishID))
	}
	if p.Author == "" || len(p.Author) > structs.MaxIdentifierBytes {
		return errkind.New(errkind.Invalid, remedy, "author has %d bytes", len(p.Author))
	}
	_, err := spec.Parse([]byte(p.Text))
	return err
}
