package tunnel

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"
)

// Dial opens a tunnel to an endpoint through the instance that listens at server. The error is an
// *OpenError if that instance has answered.
func Dial(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), server string, key []byte, address string) (net.Conn, error) {
	conn, err := dial(ctx, server)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	err = open(conn, key, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// open performs the opening exchange.
func open(conn net.Conn, key []byte, address string) error {
	req, err := newRequest(key, address)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := writeObject(conn, []byte{firstByte}, req); err != nil {
		return trace.Wrap(err)
	}
	var resp jsonrpc2.Response
	if err := readObject(conn, &resp); err != nil {
		return trace.Wrap(err)
	}
	if resp.Error != nil {
		return &OpenError{Code: Code(resp.Error.Code), Message: resp.Error.Message}
	}
	return trace.Wrap(conn.SetDeadline(time.Time{}))
}
