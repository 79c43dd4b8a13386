package testbed

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/ulid/v2"

	"github.com/medlarhold/medlarhold/internal/adminapi"
	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// Keys of every test bed.
const (
	// PeerKey authenticates instances to each other, OperatorKey operators.
	PeerKey     = "test-peer-key-0123456789"
	OperatorKey = "test-operator-key"
	// CallerKey is the key of the organisation "bank".
	CallerKey = "test"
)

// eventTimeout is a generous limit of a wait for an event.
const eventTimeout = 60 * time.Second

// Bed is a set of processes that communicate over loopback. It is not safe for concurrent use.
type Bed struct {
	Dir         string
	Programs    Programs
	Platform    string // base URL
	procs       []*Process
	log         *platform.HTTPLog
	serverCount int
}

// Instance is a running instance of the system.
type Instance struct {
	*Process
	ID                    entity.InstanceID `json:"instance"`
	Callers, Peers, Admin string
}

// Server is a running simulated engine, service, platform or relay.
type Server struct {
	*Process
	Address string `json:"address"`
	// Control is the address at which faults are set, if it differs from Address.
	Control string `json:"control"`
}

// New starts a test bed with a simulated platform. Settings, keys and log files are written to
// dir.
func New(dir string, programs Programs) (*Bed, error) {
	b := &Bed{Dir: dir, Programs: programs}
	if err := b.writeKeys(); err != nil {
		return nil, trace.Wrap(err)
	}
	s, err := b.StartStandin("platform", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	b.Platform = "http://" + s.Address
	b.log = platform.NewHTTPLog(b.Platform, nil)
	return b, nil
}

func (b *Bed) writeKeys() error {
	sum := sha256.Sum256([]byte(OperatorKey))
	files := map[string]string{"peer.key": PeerKey + "\n", "operator.hash": hex.EncodeToString(sum[:]) + "\n"}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(b.Dir, name), []byte(content), 0o600); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

// Close kills all processes that the bed started.
func (b *Bed) Close() {
	for _, p := range b.procs {
		p.Kill()
	}
}

// StartStandin starts a simulated component of the given kind, such as "engine", with its
// settings.
func (b *Bed) StartStandin(kind string, settings any) (*Server, error) {
	args := []string{kind}
	if settings != nil {
		data, err := json.Marshal(settings)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		args = append(args, "--settings", string(data))
	}
	b.serverCount++
	s := &Server{}
	p, err := start(filepath.Join(b.Dir, fmt.Sprintf("%s-%d.log", kind, b.serverCount)), s, b.Programs.Standin, args...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.Process = p
	b.procs = append(b.procs, p)
	return s, nil
}

// InstanceSettings returns the settings of an instance of the bed. Tests may change them before
// StartInstance.
func (b *Bed) InstanceSettings(name string, zone entity.ZoneID) map[string]any {
	return map[string]any{
		"name": name, "zone": zone, "region": "test",
		"listen":   map[string]any{"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"},
		"platform": map[string]any{"log": b.Platform, "instance_list": b.Platform, "weight_store": b.Platform},
		"keys": map[string]any{
			"peer_key_file":      filepath.Join(b.Dir, "peer.key"),
			"operator_hash_file": filepath.Join(b.Dir, "operator.hash"),
		},
		"stop": map[string]any{"notice_ms": 500, "timeout_ms": 60_000},
	}
}

// StartInstance starts an instance.
func (b *Bed) StartInstance(name string, settings map[string]any) (*Instance, error) {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	file := filepath.Join(b.Dir, name+".jsonc")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	in := &Instance{}
	p, err := start(filepath.Join(b.Dir, name+".log"), in, b.Programs.Daemon, "--settings", file)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	in.Process = p
	b.procs = append(b.procs, p)
	return in, nil
}

// Publish appends the objects of a configuration file to the log, each as a new object that is
// based on no earlier revision.
func (b *Bed) Publish(ctx context.Context, src []byte) error {
	objects, problems := config.Parse("test", src)
	if len(problems) > 0 {
		return trace.BadParameter("%s", problems[0])
	}
	for _, o := range config.Ordered(objects) {
		data, err := config.EncodeChange(config.Change{ID: ulid.Make().String(), Kind: o.Kind, Name: o.Name, Operator: "test", Spec: o.Spec})
		if err != nil {
			return trace.Wrap(err)
		}
		if _, err := b.log.Append(ctx, config.Stream, data); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// WaitReady waits until the instance reports that it is ready to serve.
func (in *Instance) WaitReady() error {
	return Eventually(func() bool {
		res, err := http.Get("http://" + in.Callers + "/readyz")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// WaitMembers waits until the instance lists n live instances over all zones.
func (in *Instance) WaitMembers(n int) error {
	c := adminapi.NewClient(in.Admin, OperatorKey, nil)
	return Eventually(func() bool {
		list, err := c.Instances(context.Background())
		return err == nil && len(list) == n
	})
}

// pollInterval is the time between two checks of Eventually.
const pollInterval = 20 * time.Millisecond

// Eventually waits until the condition is true. Its timeout is not a requirement on speed: it only
// ends a wait for an event that never happens.
func Eventually(condition func() bool) error {
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return trace.LimitExceeded("the condition was not met within %v", eventTimeout)
}
