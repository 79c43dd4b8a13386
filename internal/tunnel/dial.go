package tunnel

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"
)

// Conn is a connection to an endpoint through another instance.
type Conn struct {
	net.Conn
	// ReportsEnd is set if the connection ends regularly only if the endpoint has ended its own.
	ReportsEnd bool
}

// Dial opens a tunnel to an endpoint through the instance that listens at server. The error is an
// *OpenError if that instance has answered.
func Dial(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), server string, key []byte, address string) (*Conn, error) {
	conn, err := dial(ctx, server)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	result, err := open(conn, key, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &Conn{Conn: conn, ReportsEnd: result.ReportsEnd}, nil
}

// open performs the opening exchange.
func open(conn net.Conn, key []byte, address string) (result openResult, err error) {
	req, err := newRequest(key, address)
	if err != nil {
		return result, trace.Wrap(err)
	}
	if err := writeObject(conn, []byte{firstByte}, req); err != nil {
		return result, trace.Wrap(err)
	}
	var resp jsonrpc2.Response
	if err := readObject(conn, &resp); err != nil {
		return result, trace.Wrap(err)
	}
	if resp.Error != nil {
		return result, &OpenError{Code: Code(resp.Error.Code), Message: resp.Error.Message}
	}
	if resp.Result != nil {
		if err := json.Unmarshal(*resp.Result, &result); err != nil {
			return result, trace.Wrap(err)
		}
	}
	return result, trace.Wrap(conn.SetDeadline(time.Time{}))
}
