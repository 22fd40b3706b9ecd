// Package demo drives the demonstration: it starts the stand-ins and the entry instances as separate processes, loads them
// as callers would, and counts what happened from outside the daemon.
package demo
