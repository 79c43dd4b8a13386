package testbed

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// Log returns a client of the simulated log service.
func (b *Bed) Log() *platform.HTTPLog { return b.log }

// SetPlatformFaults changes those faults of the simulated platform that are named in faults.
func (b *Bed) SetPlatformFaults(faults map[string]any) error {
	return put(b.Platform+"/standin/faults", faults)
}

// StartRelay starts a relay that forwards to target.
func (b *Bed) StartRelay(target string) (*Server, error) {
	b.serverCount++
	s := &Server{}
	p, err := start(filepath.Join(b.Dir, fmt.Sprintf("relay-%d.log", b.serverCount)), s, b.Programs.Standin, "relay", "--target", target)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.Process = p
	b.procs = append(b.procs, p)
	return s, nil
}

// FreeAddress returns a loopback address that was free at the time of the call. Another process
// may take it afterwards.
func FreeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// control returns the base URL at which faults are set.
func (s *Server) control() string {
	if s.Control != "" {
		return "http://" + s.Control
	}
	return "http://" + s.Address
}

// SetFaults replaces the faults of the server.
func (s *Server) SetFaults(faults any) error { return put(s.control()+"/standin/faults", faults) }

// StallOpenConnections stops traffic on the connections that are open now, without closing them.
func (s *Server) StallOpenConnections() error {
	return exchange(http.MethodPost, s.control()+"/standin/silence-open", nil, nil)
}

// Journal reads the server's journal into the value that into points to.
func (s *Server) Journal(into any) error {
	return exchange(http.MethodGet, s.control()+"/standin/journal", nil, into)
}

func put(url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	return exchange(http.MethodPut, url, bytes.NewReader(data), nil)
}

func exchange(method, url string, body io.Reader, into any) error {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return trace.Wrap(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		return trace.BadParameter("%s %s: %s", method, url, res.Status)
	}
	if into == nil {
		return nil
	}
	return trace.Wrap(json.NewDecoder(res.Body).Decode(into))
}

// Metric returns the value of a metric of the instance. name is the metric name with its labels.
func (in *Instance) Metric(name string) (float64, error) {
	res, err := http.Get("http://" + in.Admin + "/metrics")
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			v, err := strconv.ParseFloat(value, 64)
			return v, trace.Wrap(err)
		}
	}
	return 0, trace.NotFound("no metric %s", name)
}

// WaitMetric waits until the value of a metric satisfies the condition.
func (in *Instance) WaitMetric(name string, condition func(v float64) bool) error {
	var last float64
	err := Eventually(func() bool {
		v, err := in.Metric(name)
		last = v
		return err == nil && condition(v)
	})
	return trace.Wrap(err, "%s of %s is %v", name, in.ID, last)
}
