package main

import (
	"fmt"
	"os"
)

// cases are the cases by their numbers, and what was played beside them by name.
var cases = map[string]func(recordPath string) (int, error){
	"4":     playReborn,
	"5":     playCrashes,
	"6":     playGone,
	"8":     playPacked,
	"chaos": playChaos,
	"wide":  playWideCrash,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig2 CASE RECORD")
		os.Exit(notRun)
	}
	code, err := cases[os.Args[1]](os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = notRun
	}
	os.Exit(code)
}
