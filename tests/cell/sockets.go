// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cell

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// SocketCount returns how many sockets the process has open, listening ones too, but for
// those that it took at an address.
func (p *Process) SocketCount(but string) (int, error) {
	taken, err := socketsAt(but)
	if err != nil {
		return 0, err
	}
	dir := fmt.Sprintf("/proc/%d/fd", p.PID())
	files, err := os.ReadDir(dir)
	if err != nil {
		return 0, fmt.Errorf("open files of %s: %w", p.name, err)
	}
	n := 0
	for _, f := range files {
		// A file may be closed meanwhile.
		to, err := os.Readlink(filepath.Join(dir, f.Name()))
		if inode, found := strings.CutPrefix(to, "socket:"); err == nil && found && !taken[strings.Trim(inode, "[]")] {
			n++
		}
	}
	return n, nil
}

// The fields of a line of /proc/net/tcp.
const (
	localAddressField = 1
	inodeField        = 9
)

// socketsAt returns the inodes of the sockets whose local end is an address.
func socketsAt(address string) (map[string]bool, error) {
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("sockets at %s: %w", address, err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return nil, fmt.Errorf("sockets at %s: %w", address, err)
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil, fmt.Errorf("sockets at %s: %w", address, err)
	}
	inodes := map[string]bool{}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > inodeField && strings.HasSuffix(fields[localAddressField], fmt.Sprintf(":%04X", port)) {
			inodes[fields[inodeField]] = true
		}
	}
	return inodes, nil
}
