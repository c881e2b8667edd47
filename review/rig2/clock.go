package main

import (
	"time"

	"saddlevane/modules/clock"
)

// machineClock is the machine's clock. All of the project reads clocks through package clock.
var machineClock = newMachineClock()

func newMachineClock() *clock.Clock {
	c, err := clock.New()
	if err != nil {
		panic(err)
	}
	return c
}

// now returns the present time.
func now() time.Time { return machineClock.Now() }

// since returns the time that has passed since t, until the time that is left until t.
func since(t time.Time) time.Duration { return now().Sub(t) }

func until(t time.Time) time.Duration { return t.Sub(now()) }
