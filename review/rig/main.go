package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playLimit bounds a case, the start of its cell included.
const playLimit = 110 * time.Second

func main() { os.Exit(play()) }

// play plays the case that the command line names, and returns its result.
func play() int {
	name := flag.String("case", "", "the case: again or crashes")
	out := flag.String("record", "record.txt", "the file to write what was sent, answered and run")
	daemon := flag.String("daemon", "target/saddlevaned", "the daemon")
	template := flag.String("template", "deploy/settings.yaml.tmpl", "the template of its settings")
	flag.Parse()
	cases := map[string]struct {
		run     func(*cell, bool) int
		runners int
	}{
		"again": {again, 9}, "crashes": {crashes, 6}, "large": {large, 9}, "long": {long, 9}, "reborn": {reborn, 6}, "waiting": {waiting, 3},
	}
	played, known := cases[*name]
	if !known {
		fmt.Println("no such case:", *name)
		return notRun
	}
	r, err := newRecord(*out)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, with the disruption: %v", *name, trouble)
	c, err := newCell(r, options{daemon: *daemon, template: *template, trouble: trouble}, played.runners)
	defer c.close()
	if err != nil {
		r.say("the case could not run: %v", err)
		return notRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	results := make(chan int, 1)
	go func() { results <- played.run(c, trouble) }()
	select {
	case result := <-results:
		r.say("result: %d", result)
		return result
	case <-signals:
		r.say("the case was stopped")
	case <-time.After(playLimit):
		r.say("the case took too long")
	}
	return notRun
}
