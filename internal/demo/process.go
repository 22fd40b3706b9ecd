// Package demo drives the demonstration: it starts the stand-ins and the entry instances as separate processes, loads them
// as callers would, and counts what happened from outside the daemon.
package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// stopTimeout bounds how long a process may take to end after SIGTERM.
const stopTimeout = 40 * time.Second

// process is a child process started by the demonstration, with its output in a file.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
	err     error // how it ended; read after done is closed
}

// start runs a program with its output in dir/name.log.
func start(dir, name, program string, args ...string) (*process, error) {
	logFile, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = logFile.Close() }()    // the child has its own descriptor
	command := exec.Command(program, args...) //nolint:noctx // a process outlives the call; stop ends it
	command.Stdout = logFile
	command.Stderr = logFile
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("cannot start %s: %w", name, err)
	}
	p := &process{name: name, command: command, done: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		close(p.done)
	}()
	return p, nil
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	_ = p.command.Process.Kill() // it may have ended by itself
	<-p.done
}

// stop asks the process to drain and end, and kills it when it takes too long. It returns how it ended.
func (p *process) stop() error {
	_ = p.command.Process.Signal(syscall.SIGTERM) // it may have ended by itself
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		p.kill()
		return fmt.Errorf("%s did not end within %v of SIGTERM", p.name, stopTimeout)
	}
}

// Ports for the demonstration's processes. They lie below the range from which Linux takes the ports of outgoing
// connections, so no connection can take one between the probe and the start of its process.
const (
	lowestPort  = 15_000
	highestPort = 32_000
	portProbes  = 10_000
)

// freeAddresses returns n loopback addresses whose ports were free a moment ago.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range portProbes {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(highestPort-lowestPort))
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			continue // in use
		}
		defer listener.Close() // kept until all are found, so that no port is given twice
		addresses = append(addresses, address)
	}
	return nil, fmt.Errorf("found %d of %d free ports from %d to %d", len(addresses), n, lowestPort, highestPort)
}
