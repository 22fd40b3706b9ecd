// Package process starts, signals and ends the child processes of the demonstration and of the soak test.
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
	"sync"
	"syscall"
	"time"
)

// stopTimeout is the longest time that a process may take to end after SIGTERM.
const stopTimeout = 40 * time.Second

// Process is a child process whose output goes to a file.
type Process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
	exitErr error // result of the process; valid once done is closed
}

// Start starts a program. Its standard output and error go to dir/name.log.
func Start(dir, name, program string, args ...string) (*Process, error) {
	logFile, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = logFile.Close() }()    // the child has its own file descriptor
	command := exec.Command(program, args...) //nolint:noctx // the process outlives this call; Stop ends it
	command.Stdout = logFile
	command.Stderr = logFile
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("cannot start %s: %w", name, err)
	}
	p := &Process{name: name, command: command, done: make(chan struct{})}
	go func() {
		p.exitErr = command.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process. It returns an error, which says how the process ended, when it has ended.
func (p *Process) Signal(sig syscall.Signal) error {
	err := p.command.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		<-p.done
		return fmt.Errorf("%s has ended (%v): %w", p.name, p.command.ProcessState, err)
	}
	return err
}

// Pid returns the id of the process.
func (p *Process) Pid() int { return p.command.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill ends the process with SIGKILL and waits until it has ended.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // fails only when it has already ended
	<-p.done
}

// Stop sends SIGTERM, on which the process drains and ends, and kills it when it takes longer than stopTimeout. It returns
// the result of the process, as exec.Cmd.Wait does, or an error when it had to be killed.
func (p *Process) Stop() error {
	_ = p.command.Process.Signal(syscall.SIGTERM) // fails only when it has already ended
	select {
	case <-p.done:
		return p.exitErr
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("%s did not end within %v of SIGTERM", p.name, stopTimeout)
	}
}

// Range of ports for child processes. It lies below the range from which Linux takes the ports of outgoing connections, so
// that none of them can take a port between the probe and the start of the process that listens on it.
const (
	lowestPort    = 15_000
	highestPort   = 32_000
	maxPortProbes = 10_000 // attempts of FreeAddresses to find free ports
)

// assigned holds the ports that FreeAddresses has returned in this process. Their listeners may not be open yet.
var assigned struct {
	sync.Mutex
	ports map[int]bool
}

// assign reports whether a port was not returned before, and marks it as returned.
func assign(port int) bool {
	assigned.Lock()
	defer assigned.Unlock()
	if assigned.ports == nil {
		assigned.ports = map[int]bool{}
	}
	if assigned.ports[port] {
		return false
	}
	assigned.ports[port] = true
	return true
}

// FreeAddresses returns n loopback addresses with different ports that were free at the time of the call. A process gets no port twice.
func FreeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range maxPortProbes {
		if len(addresses) == n {
			return addresses, nil
		}
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			continue // the port is in use
		}
		_ = listener.Close()
		if assign(port) {
			addresses = append(addresses, address)
		}
	}
	return nil, fmt.Errorf("found %d of %d free ports from %d to %d", len(addresses), n, lowestPort, highestPort)
}

// Terminated reports whether err is the result of a process that SIGTERM ended directly. This happens when the signal
// arrives before the process has set up its handler.
func Terminated(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && //nolint:misspell // the standard library's name
		status.Signal() == syscall.SIGTERM
}
