package accept

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// failing is a listener whose first attempts fail.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		near, _ := net.Pipe()
		return near, nil
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// An instance that is out of descriptors for a moment must not end.
func TestListenersOutliveErrorsThatPass(t *testing.T) {
	l := &failing{errs: []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED}}
	conn, err := Next(t.Context(), l)
	if err != nil {
		t.Fatalf("got error %v, want a connection", err)
	}
	conn.Close()
	if _, err := Next(t.Context(), &failing{errs: []error{syscall.EBADF}}); !errors.Is(err, syscall.EBADF) {
		t.Errorf("got error %v of a listener that has ended, want its own", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Next(ctx, &failing{errs: []error{syscall.EMFILE, syscall.EMFILE}}); err == nil {
		t.Error("got a connection after the context has ended")
	}
}
