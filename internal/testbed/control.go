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

// Log returns a client of the stand-in log service.
func (b *Bed) Log() *platform.HTTPLog { return b.log }

// SetPlatformFaults changes the named faults of the stand-in platform.
func (b *Bed) SetPlatformFaults(faults map[string]any) error {
	return put(b.Platform+"/standin/faults", faults)
}

// StartRelay starts a relay in front of an address.
func (b *Bed) StartRelay(target string) (*Server, error) {
	b.seq++
	s := &Server{}
	p, err := start(filepath.Join(b.Dir, fmt.Sprintf("relay-%d.log", b.seq)), s, b.Programs.Standin, "relay", "--target", target)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.Process = p
	b.procs = append(b.procs, p)
	return s, nil
}

// FreeAddress returns an address on loopback that no one listened on just now.
func FreeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// control is where the stand-in's faults are set.
func (s *Server) control() string {
	if s.Control != "" {
		return "http://" + s.Control
	}
	return "http://" + s.Address
}

// SetFaults replaces the faults of the stand-in.
func (s *Server) SetFaults(faults any) error { return put(s.control()+"/standin/faults", faults) }

// StallOpenConnections makes the connections that are open now go silent for good.
func (s *Server) StallOpenConnections() error {
	return exchange(http.MethodPost, s.control()+"/standin/silence-open", nil, nil)
}

// Journal reads the stand-in's journal.
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

// Metric returns the value of a metric of the instance, by its name with labels.
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

// WaitMetric waits until a metric satisfies the condition.
func (in *Instance) WaitMetric(name string, condition func(v float64) bool) error {
	var last float64
	err := Eventually(func() bool {
		v, err := in.Metric(name)
		last = v
		return err == nil && condition(v)
	})
	return trace.Wrap(err, "%s of %s is %v", name, in.ID, last)
}
