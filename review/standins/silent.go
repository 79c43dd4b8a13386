//go:build review

package main

import (
	"math/rand"
	"net"
	"os"
	"syscall"
	"time"
)

// shortQueueListener listens on loopback with the shortest queue of new channels: while it is full,
// opening packets are dropped, and sent again after a second.
func shortQueueListener() net.Listener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	must(err)
	must(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must(syscall.Listen(fd, 0))
	must(syscall.SetNonblock(fd, true))
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	l, err := net.FileListener(file)
	must(err)
	return l
}

// fallSilent makes the engine take no new channels for a while; other callers' channels fill the queue.
func (e *engine) fallSilent(d time.Duration) {
	until := time.Now().Add(d)
	e.mu.Lock()
	e.silentUntil = until
	e.mu.Unlock()
	for time.Now().Before(until) {
		conn, err := net.DialTimeout("tcp", e.listener.Addr().String(), 30*time.Millisecond)
		if err != nil {
			break
		}
		defer conn.Close()
	}
	time.Sleep(time.Until(until))
}

// awaitSound waits while the engine is silent.
func (e *engine) awaitSound() {
	for {
		e.mu.Lock()
		wait := time.Until(e.silentUntil)
		e.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// fallSilentAtTimes makes the engine fall silent again and again.
func (e *engine) fallSilentAtTimes() {
	for {
		select {
		case <-e.stop:
			return
		case <-time.After(e.silentEvery/2 + time.Duration(rand.Int63n(int64(e.silentEvery)))):
			e.fallSilent(e.silentFor)
		}
	}
}
