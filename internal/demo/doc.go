// Package demo is an end-to-end run of the scheduler. It starts stand-ins and entry instances as separate processes, sends
// requests and gangs as callers do, injects faults, and checks the results from outside the daemon.
package demo
