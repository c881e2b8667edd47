package main

import (
	"time"

	"saddlevane/modules/clock"
)

// machine is the machine's clock. All of the project reads clocks through package clock.
var machine = newMachine()

func newMachine() *clock.Clock {
	c, err := clock.New()
	if err != nil {
		panic(err)
	}
	return c
}

// now returns the present time.
func now() time.Time { return machine.Now() }

// since returns the time that has passed since a time, until the time that is left until one.
func since(t time.Time) time.Duration { return now().Sub(t) }

func until(t time.Time) time.Duration { return t.Sub(now()) }
