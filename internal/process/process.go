// Package process starts, signals and ends child processes for the demonstration and the soak.
package process

import (
	"context"
	"errors"
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

// Process is a child process with its output in a file.
type Process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
	err     error // how it ended; read after done is closed
}

// Start runs a program with its output in dir/name.log.
func Start(dir, name, program string, args ...string) (*Process, error) {
	logFile, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = logFile.Close() }()    // the child has its own descriptor
	command := exec.Command(program, args...) //nolint:noctx // a process outlives the call; Stop ends it
	command.Stdout = logFile
	command.Stderr = logFile
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("cannot start %s: %w", name, err)
	}
	p := &Process{name: name, command: command, done: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process. It is an error when the process has ended.
func (p *Process) Signal(sig syscall.Signal) error { return p.command.Process.Signal(sig) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill ends the process with SIGKILL.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // it may have ended by itself
	<-p.done
}

// Stop asks the process to drain and end, and kills it when it takes too long. It returns how it ended.
func (p *Process) Stop() error {
	_ = p.command.Process.Signal(syscall.SIGTERM) // it may have ended by itself
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		p.Kill()
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

// FreeAddresses returns n loopback addresses whose ports were free a moment ago.
func FreeAddresses(n int) ([]string, error) {
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

// Terminated reports whether a process ended by SIGTERM itself, as it does before it has set its handler.
func Terminated(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && //nolint:misspell // the standard library's name
		status.Signal() == syscall.SIGTERM
}
