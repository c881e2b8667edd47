// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package cell starts a complete cell as real processes on loopback: daemons, and stand-ins
// for the platform. It is used by tests, the demo and the benchmarks, which start all their
// processes through it.
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

// Process is a started process.
type Process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// StartProcess starts a program and appends its output to the file NAME.log in dir.
func StartProcess(dir, name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p := &Process{name: name, cmd: exec.Command(program, args...), log: log, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The kernel kills the process when its parent ends, so that none is left behind.
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

// Name returns the name given to [StartProcess].
func (p *Process) Name() string { return p.name }

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal. It returns nil if the process has already ended.
func (p *Process) Signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Pause stops the process with SIGSTOP.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Continue resumes a paused process with SIGCONT.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and waits until the process has ended. It returns the process's exit
// error, or kills it and returns an error if it has not ended within the given time.
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

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

func (p *Process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitCode waits until the process has ended and returns its exit code.
func (p *Process) ExitCode() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}
