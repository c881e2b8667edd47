// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Saddlevanectl is the operators' command-line tool. It publishes configuration files, submits and
// cancels jobs, and shows the state of the daemons.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"saddlevane/modules/setting"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes of the tool.
const (
	// exitDone means that the command succeeded.
	exitDone = 0
	// exitRefused means that the command was refused or failed, and nothing was applied.
	exitRefused = 1
	// exitUsage means that the command line or the file is invalid.
	exitUsage = 2
	// exitUnknown means that it is not known whether the file or request was applied.
	exitUnknown = 3
)

// codeError is an error with the exit code that the tool ends with.
type codeError struct {
	code int
	err  error
}

func (e *codeError) Error() string { return e.err.Error() }

func (e *codeError) Unwrap() error { return e.err }

// usageError returns a formatted error with the exit code exitUsage.
func usageError(format string, args ...any) error {
	return &codeError{exitUsage, fmt.Errorf(format, args...)}
}

func main() { os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }

// tool holds the flags, output streams and client that all commands share.
type tool struct {
	out       io.Writer
	errOut    io.Writer
	addresses string
	format    string
	client    *client
}

// run executes the command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	t := &tool{out: out, errOut: errOut}
	root := t.root()
	switch err := root.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return exitDone
	case err != nil:
		// The flag set has already printed the error.
		return exitUsage
	}
	err := t.prepare()
	if err == nil {
		err = root.Run(ctx)
	}
	return exitCode(err, errOut)
}

// exitCode prints err, if any, and returns the exit code for it.
func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(errOut, "saddlevanectl:", err)
	if coded, ok := errors.AsType[*codeError](err); ok {
		return coded.code
	}
	return exitRefused
}

// root returns the root command with all subcommands.
func (t *tool) root() *ffcli.Command {
	root := &ffcli.Command{
		Name:       "saddlevanectl",
		ShortUsage: "saddlevanectl [flags] <command>",
		LongHelp: "Publishes complete files and reads back what is in force.\n" +
			"Exit codes: 0 done, 1 refused or failed and not applied, 2 bad usage or file,\n" +
			"3 unknown whether it was applied.\n\nExample:\n  saddlevanectl -address 127.0.0.1:8081 status",
		Subcommands: []*ffcli.Command{
			t.validate(), t.publish(), t.get(), t.status(), t.queue(), t.explain(), t.dump(), t.version(),
			t.submit(), t.job(), t.cancel(), t.cell(), t.evacuate(), t.trace(), t.losses(),
		},
		Exec: func(context.Context, []string) error { return usageError("want a command; see --help") },
	}
	root.FlagSet = t.flags("saddlevanectl")
	return root
}

// flags returns a flag set with the flags that every command has.
func (t *tool) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.errOut)
	if t.addresses == "" {
		t.addresses, t.format = "127.0.0.1:8081", formatTable
	}
	fs.StringVar(&t.addresses, "address", t.addresses, "operators' ports of the entry boxes, separated by commas")
	fs.StringVar(&t.format, "o", t.format, "output: table, json or yaml")
	return fs
}

// command returns a subcommand with the shared flags.
func (t *tool) command(name, arguments, help, example string, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "saddlevanectl " + name + " [flags] " + arguments,
		ShortHelp:  help,
		LongHelp:   help + "\n\nExample:\n  saddlevanectl " + example,
		FlagSet:    t.flags(name),
		Options:    []ff.Option{ff.WithEnvVarPrefix(setting.EnvPrefix + "CTL")},
		Exec:       exec,
	}
}

// prepare checks the output format and makes the client, once the flags are parsed.
func (t *tool) prepare() error {
	switch t.format {
	case formatTable, formatJSON, formatYAML:
	default:
		return usageError("-o: want table, json or yaml, got %q", t.format)
	}
	c, err := newClient(t.addresses)
	t.client = c
	return err
}
