// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package cell starts a whole cell as real processes on loopback: stand-ins for
// the platform, and daemons. Tests, the demo and the benchmarks use it; nothing
// else starts processes.
package cell

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is one process of a cell.
type Process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// StartProcess starts a program whose output goes to a file in dir.
func StartProcess(dir, name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p := &Process{name: name, cmd: exec.Command(program, args...), log: log, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// A process must not outlive the one that started it.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	p.err = p.cmd.Wait()
	_ = p.log.Close()
	close(p.done)
}

// Name returns the process's name.
func (p *Process) Name() string { return p.name }

// PID returns the process's number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Pause freezes the process.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Continue ends a freeze.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Stop asks for a planned stop and waits for the end, at most for a while. It
// returns the process's own error.
func (p *Process) Stop(within time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(within):
		p.Kill()
		return fmt.Errorf("%s did not stop within %s", p.name, within)
	}
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

func (p *Process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitCode returns how the process ended.
func (p *Process) ExitCode() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}
