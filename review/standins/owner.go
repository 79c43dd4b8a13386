//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// owners tells which process a channel comes from, as the machine's address would where each
// process has its own machine.
type owners struct {
	mu    sync.Mutex
	known map[string]int // by remote address and local address
}

// of returns the process, of those given, that holds the other end of a channel; 0 for none of them.
func (o *owners) of(conn net.Conn, pids []int) int {
	key := conn.RemoteAddr().String() + " " + conn.LocalAddr().String()
	o.mu.Lock()
	pid, ok := o.known[key]
	o.mu.Unlock()
	if ok {
		return pid
	}
	pid = find(conn, pids)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.known == nil {
		o.known = map[string]int{}
	}
	o.known[key] = pid
	return pid
}

func find(conn net.Conn, pids []int) int {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	inode := ""
	for line := range strings.Lines(string(table)) {
		columns := strings.Fields(line)
		if len(columns) > 9 && columns[1] == inTable(conn.RemoteAddr()) && columns[2] == inTable(conn.LocalAddr()) && columns[9] != "0" {
			inode = columns[9]
		}
	}
	if inode == "" {
		return 0
	}
	for _, pid := range pids {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, l := range links {
			if to, err := os.Readlink(l); err == nil && to == "socket:["+inode+"]" {
				return pid
			}
		}
	}
	return 0
}

func inTable(a net.Addr) string {
	tcp := a.(*net.TCPAddr)
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}
