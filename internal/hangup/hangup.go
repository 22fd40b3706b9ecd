// Package hangup takes SIGHUP from the start of the process on. Go initialises packages whose imports are initialised in the order of their
// paths, so a package that imports little is ready milliseconds before main runs; a SIGHUP that comes earlier ends the process.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives SIGHUP. A signal that comes while another one waits is dropped.
var Signals = notify()

func notify() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Restore lets SIGHUP end the process again, as commands other than daemons should.
func Restore() { signal.Reset(syscall.SIGHUP) }
