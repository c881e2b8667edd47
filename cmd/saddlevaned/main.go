// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Saddlevaned is the daemon that runs on each entry box.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"saddlevane/modules/logger"
	"saddlevane/modules/setting"
	"saddlevane/modules/version"
)

// Exit codes of the daemon.
const (
	exitDone     = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

// run loads the settings, runs the daemon and returns the exit code.
func run(args []string) int {
	settings, command, err := setting.Load("saddlevaned", args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitDone
	case command.Version:
		fmt.Println("saddlevaned", version.Number)
		return exitDone
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	case command.Check:
		fmt.Println("the settings are valid")
		return exitDone
	}
	log, err := logger.New(os.Stderr, settings.Log.Level, settings.Log.Format)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if settings.Jobs.Enabled {
		log.SetOutput(os.Stdout)
	}
	if limit := settings.Box.HeapLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	run := serve
	if settings.Jobs.Enabled {
		run = serveJobs
	}
	if err := run(settings, log, signals); err != nil {
		log.WithError(err).Error("the daemon failed")
		return exitFailed
	}
	return exitDone
}
