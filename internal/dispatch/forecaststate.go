package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
	"dogwoodnotch.example/dogwoodnotch/internal/ledger"
)

var (
	eventForecastRestored   = event.Define(2800, "forecast restored", zerolog.InfoLevel, "The scheduler took over what earlier terms have learned about run times and worker speeds.", "")
	eventForecastUnreadable = event.Define(2801, "forecast not understood", zerolog.WarnLevel, "The record of what earlier terms have learned about run times and worker speeds cannot be read. The scheduler learns anew and replaces the record.", "Nothing if another release wrote it. Otherwise find out which program did.")
)

// Limits of the record of what the scheduler has learned about run times and worker speeds.
const (
	forecastKey         = "forecast" // of the record in ledger.RunsTopic; no unit has this name
	forecastWriteEvery  = 5 * time.Second
	maxForecastBytes    = 16 << 10 // of key and value
	forecastRecordSlack = 64       // what a record may take besides key and value
	unstatedRecordBytes = 8 << 10  // limit of the log if the settings state none; a record beyond the true limit delays others by seconds
)

// forecastRecord is the state of writing the model of run times and worker speeds to the log.
type forecastRecord struct {
	writtenAt time.Time // when the record was last put; zero before
	changes   uint64    // Model.Changes at that time or when the model was restored
	refusals  int       // number of times that the log called the record invalid
}

// putWithForecast puts a record of a run, followed by that of the forecast if it has changed and was not put for a while. The forecast is
// only written together with other records, so that it costs no call of its own.
func (s *Scheduler) putWithForecast(r ledger.Record, now time.Time) {
	f := &s.forecastRecord
	changes := s.forecast.Changes()
	if changes == f.changes || !f.writtenAt.IsZero() && now.Sub(f.writtenAt) < forecastWriteEvery {
		s.config.Runs.Put(nil, r)
		return
	}
	f.writtenAt, f.changes = now, changes
	summary := s.forecast.Summary(s.forecastBytes())
	if len(summary) == 0 {
		s.config.Runs.Put(nil, r)
		return
	}
	s.config.Runs.Put(func(err error) { // the outcome is that of the last record
		if ledger.IsUnrecordable(err) {
			s.mu.Lock()
			defer s.mu.Unlock()
			f.refusals++
		}
	}, r, ledger.Record{Key: forecastKey, Value: summary})
}

// forecastBytes returns the largest size of the summary in the record of the forecast. It is halved each time the log refuses the record.
func (s *Scheduler) forecastBytes() int {
	limit := s.config.Bounds.RecordBytes
	if limit <= 0 {
		limit = unstatedRecordBytes
	}
	return min(maxForecastBytes, limit-forecastRecordSlack)>>min(s.forecastRecord.refusals, 16) - len(forecastKey)
}

// restoreForecast takes over what earlier terms have learned. Without a readable record the scheduler learns anew.
func (s *Scheduler) restoreForecast(record []byte) {
	if err := s.forecast.Restore(record); err != nil {
		s.config.Events.Emit(eventForecastUnreadable, event.F("bytes", len(record)), event.F("cause", err))
		return
	}
	s.forecastRecord.changes = s.forecast.Changes()
	s.config.Events.Emit(eventForecastRestored, event.F("bytes", len(record)), event.F("uneven", s.forecast.Uneven()))
}
