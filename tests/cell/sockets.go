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

// SocketCount returns the number of sockets that the process has open, listening ones
// included, without those whose local address is except.
func (p *Process) SocketCount(except string) (int, error) {
	excluded, err := socketsAt(except)
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
		// The file may have been closed since the directory was read.
		link, err := os.Readlink(filepath.Join(dir, f.Name()))
		if inode, found := strings.CutPrefix(link, "socket:"); err == nil && found && !excluded[strings.Trim(inode, "[]")] {
			n++
		}
	}
	return n, nil
}

// Field indexes of a line in /proc/net/tcp.
const (
	localAddressField = 1
	inodeField        = 9
)

// socketsAt returns the inodes of the sockets whose local port is that of address.
func socketsAt(address string) (map[string]bool, error) {
	_, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("sockets at %s: %w", address, err)
	}
	port, err := strconv.Atoi(portText)
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
