// Command rig plays a case of the review: it starts daemons of the project against stand-ins of the
// platform, on loopback addresses, and checks one rule by what callers, runners and the platform see.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// newRecord creates the file at path.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: now()}, nil
}

// add writes one line to the file.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes one line to the file and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// since returns the seconds from the start of the record to a time.
func (r *record) since(at time.Time) float64 { return at.Sub(r.started).Seconds() }

func (r *record) close() { _ = r.file.Close() }
