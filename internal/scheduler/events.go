package scheduler

import (
	"github.com/rs/zerolog"

	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// Events of this package.
var (
	eventActive = event.Define(2000, "scheduler active", zerolog.InfoLevel,
		"This instance attached to the rack owners and rebuilt its view of jobs and workers.", "")
	eventInactive = event.Define(2001, "scheduler inactive", zerolog.InfoLevel,
		"This instance gave up or lost the scheduler role.", "")
	eventStarted          = event.Define(2002, "job started", zerolog.InfoLevel, "All members of the job are running.", "")
	eventStopping         = event.Define(2003, "job stopping", zerolog.InfoLevel, "All members of the job are being stopped.", "")
	eventRequeued         = event.Define(2004, "job requeued", zerolog.InfoLevel, "The attempt ended before the job finished; the job waits for another attempt.", "")
	eventEnded            = event.Define(2005, "job ended", zerolog.InfoLevel, "The result of the job is recorded.", "")
	eventUnknownTaskFreed = event.Define(2006, "unknown task freed", zerolog.WarnLevel,
		"A worker reported a task that belongs to no known job and attempt; the task is being released.", "")
	eventWorkerLost = event.Define(2007, "worker lost", zerolog.WarnLevel,
		"No rack owner holds the worker's session; its jobs are requeued once their leases have expired.", "Check the worker.")
	eventWorkerExcluded = event.Define(2008, "worker excluded", zerolog.ErrorLevel,
		"Tasks of different jobs failed on the worker in a row, so it gets only probes.", "Repair the worker.")
	eventWorkerReadmitted = event.Define(2009, "worker readmitted", zerolog.InfoLevel,
		"Probes succeeded on an excluded worker.", "")
	eventFailuresAttributed = event.Define(2010, "failures attributed to job", zerolog.WarnLevel,
		"The job failed on several workers that run other jobs without failures.", "Tell the customer.")
	eventRecordFailed = event.Define(2011, "finish record failed", zerolog.WarnLevel,
		"The result of a job could not be appended to the job stream; the worker keeps it and the append is retried.", "Check the log service.")
	eventPreempted = event.Define(2012, "borrowers preempted", zerolog.InfoLevel,
		"Borrowers are stopped after a checkpoint so that a guaranteed or more urgent job can start.", "")
	eventStartFailed = event.Define(2013, "job start failed", zerolog.WarnLevel,
		"A member could not be held or started; the job waits for another attempt.", "")
	eventCellsMissing = event.Define(2014, "guaranteed shape missing", zerolog.ErrorLevel,
		"Workers are lost and a customer's unused guarantee cannot be met even by preemption.", "Repair or replace workers.")
	eventGuaranteesRefused = event.Define(2015, "guarantees refused", zerolog.ErrorLevel,
		"A guarantee of the specification is invalid or its size does not divide the next larger one; the previous guarantees stay in force.", "Correct the specification.")
	eventBookingInconsistent = event.Define(2016, "booking inconsistent", zerolog.ErrorLevel,
		"The accelerators of a job could not be booked or released in the placement view.", "Report this with the state dump of the instance.")
)
