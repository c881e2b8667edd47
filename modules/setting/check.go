// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"

	"saddlevane/modules/strictyaml"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// checker collects the problems found in settings, with their positions in the file.
type checker struct {
	file      string
	positions strictyaml.Positions
	problems  strictyaml.Problems
}

// addProblem records a problem with the value of a key.
func (c *checker) addProblem(key, format string, args ...any) {
	c.problems = append(c.problems, strictyaml.Problem{
		File: cmp.Or(c.file, "settings"), Position: c.positions.Of(key), Path: key, Reason: fmt.Sprintf(format, args...),
	})
}

// checkName reports a value that does not match namePattern.
func (c *checker) checkName(key, value string) {
	if !namePattern.MatchString(value) {
		c.addProblem(key, "want a name of at most 63 characters from a-z, 0-9 and '-', got %q", value)
	}
}

// checkAddress reports a value that is not an IP address with a port.
func (c *checker) checkAddress(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addProblem(key, "want an IP address and port, got %q", value)
	}
}

// checkURL reports a value that is not an http URL whose host is an IP address with a port.
func (c *checker) checkURL(key, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" {
		c.addProblem(key, "want an address such as http://192.0.2.1:80, got %q", value)
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		c.addProblem(key, "want an IP address and port, got %q", u.Host)
	}
}

// checkRange reports a value outside the range from minimum to maximum, both included.
func checkRange[T cmp.Ordered](c *checker, key string, got, minimum, maximum T) {
	if got < minimum || got > maximum {
		c.addProblem(key, "want %v to %v, got %v", minimum, maximum, got)
	}
}

// checkBelow reports a value that is not smaller than the value of another setting.
func checkBelow[T cmp.Ordered](c *checker, key string, got T, otherKey string, other T) {
	if got >= other {
		c.addProblem(key, "%v must be less than %s (%v)", got, otherKey, other)
	}
}

// check checks all sections. The section of the platform is not used, and not checked, if jobs are
// enabled.
func (s *Settings) check(c *checker) {
	s.Box.check(c)
	s.Listen.check(c)
	if !s.Jobs.Enabled {
		s.Platform.check(c)
	}
	s.Jobs.check(c)
	s.Connections.check(c)
	s.Peers.check(c)
	s.Requests.check(c)
	s.Workers.check(c)
	s.Queue.check(c)
	s.Policy.check(c)
	s.Stop.check(c)
	s.Log.check(c)
}
