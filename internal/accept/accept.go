// Package accept accepts connections in spite of errors that pass.
//
// # Problem
//
// A process that is out of descriptors for a moment can't accept a connection, and neither can one whose peer has
// given the connection up. Neither is the end of the listener.
package accept

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// firstPause is the time between two attempts after an error that passes; it doubles up to maxPause.
	firstPause = 5 * time.Millisecond
	maxPause   = time.Second
)

// passing are the errors of accept(2) that say nothing about the listener.
var passing = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EAGAIN,
}

// Next returns the next connection of a listener. It tries again after errors that pass, until ctx ends.
func Next(ctx context.Context, l net.Listener) (net.Conn, error) {
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
		conn, err := l.Accept()
		if err == nil || !passes(err) {
			return conn, err
		}
		wait := time.NewTimer(pause)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return nil, err
		}
	}
}

func passes(err error) bool {
	for _, p := range passing {
		if errors.Is(err, p) {
			return true
		}
	}
	return false
}
