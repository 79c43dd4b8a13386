package upstream

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/medlarhold/medlarhold/internal/testbed/loopback"
)

// option returns a TCP option of a connection.
func option(t *testing.T, conn net.Conn, name int) int {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var value int
	var failed error
	if err := raw.Control(func(fd uintptr) { value, failed = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); err != nil || failed != nil {
		t.Fatal(err, failed)
	}
	return value
}

// A sound endpoint may be silent for a second, and one that is out of reach must be noticed within
// three. If TCP_USER_TIMEOUT is set, it decides when keep-alive probes give up, and not their count: a
// probe must have been sent before, and it must not pass before that.
func TestUserTimeoutDecidesWhenProbesGiveUp(t *testing.T) {
	const silenceOfSoundEndpoints, noticedWithin = time.Second, 3 * time.Second
	connections := make(chan net.Conn)
	address := loopback.Serve(t, func(conn net.Conn) {
		connections <- conn
		<-t.Context().Done()
	})
	dialled, err := DialTCP(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	accepted := <-connections
	Tune(accepted)
	for name, conn := range map[string]net.Conn{"dialled": dialled, "accepted from another instance": accepted} {
		idle := time.Duration(option(t, conn, unix.TCP_KEEPIDLE)) * time.Second
		interval := time.Duration(option(t, conn, unix.TCP_KEEPINTVL)) * time.Second
		decides := time.Duration(option(t, conn, unix.TCP_USER_TIMEOUT)) * time.Millisecond
		if decides <= silenceOfSoundEndpoints || decides >= noticedWithin {
			t.Errorf("%s: TCP_USER_TIMEOUT is %v, want more than %v and less than %v", name, decides, silenceOfSoundEndpoints, noticedWithin)
		}
		if last := idle + interval; last > decides {
			t.Errorf("%s: the second probe is sent after %v, want within TCP_USER_TIMEOUT (%v)", name, last, decides)
		}
	}
}
