// Package settings reads and checks the settings file of an instance: JSON
// with comments. docs/SETTINGS.md is the reference.
package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Settings of one instance.
type Settings struct {
	// Name is the instance's display name. The instance's id is this name with a
	// suffix that differs at each start.
	Name   string          `json:"name"`
	Zone   entity.ZoneID   `json:"zone"`
	Region entity.RegionID `json:"region"`
	Listen Listen          `json:"listen"`
	// AdvertisePeers is the address at which other instances reach this one;
	// empty means the address it listens on.
	AdvertisePeers string `json:"advertise_peers"`
	// AdvertiseAdmin is the address at which operators reach this instance;
	// empty means the address it listens on.
	AdvertiseAdmin string    `json:"advertise_admin"`
	Platform       Platform  `json:"platform"`
	Keys           Keys      `json:"keys"`
	TLS            TLS       `json:"tls"`
	Limits         Limits    `json:"limits"`
	Requests       Requests  `json:"requests"`
	Endpoints      Endpoints `json:"endpoints"`
	Stop           Stop      `json:"stop"`
	// LogVerbosity 1 adds a log line per request.
	LogVerbosity int `json:"log_verbosity"`
}

// Listen holds the addresses to listen on, host:port.
type Listen struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Admin   string `json:"admin"`
}

// Platform holds the base URLs of the platform's services. WeightStore is optional.
type Platform struct {
	Log          string `json:"log"`
	InstanceList string `json:"instance_list"`
	WeightStore  string `json:"weight_store"`
}

// Keys names the files that hold keys, one key per line. They are read again on
// SIGHUP. The first peer key is used for sending, all are accepted.
type Keys struct {
	PeerKeyFile string `json:"peer_key_file"`
	// OperatorHashFile holds the SHA-256 hashes (hex) of the operators' keys.
	OperatorHashFile string `json:"operator_hash_file"`
}

// TLS names certificate files (PEM), read again on SIGHUP; empty means plain TCP.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile is trusted for peers, the platform and endpoints.
	CAFile string `json:"ca_file"`
}

// Limits holds what the process may use, 0 for what the machine and the limits of the process allow.
type Limits struct {
	// MemoryMB is the memory of the process, in MiB. By default it is what GOMEMLIMIT says, or half of the machine's.
	MemoryMB int64 `json:"memory_mb"`
	// Descriptors is the number of descriptors.
	Descriptors int `json:"descriptors"`
}

// Requests holds the limits of callers' requests.
type Requests struct {
	DefaultDeadlineMs int64 `json:"default_deadline_ms"`
	MaxDeadlineMs     int64 `json:"max_deadline_ms"`
	MaxBodyBytes      int64 `json:"max_body_bytes"`
	MaxHeaderBytes    int   `json:"max_header_bytes"`
	// EngineBlockTokens is the length, in tokens, of the blocks in which engines
	// cache prompts.
	EngineBlockTokens int `json:"engine_block_tokens"`
	// PrefixBlockTokens is the length, in tokens, of the prompt blocks that are
	// compared, a multiple of EngineBlockTokens. MaxPrefixBlocks is the maximum
	// number of them in a reservation.
	PrefixBlockTokens int `json:"prefix_block_tokens"`
	MaxPrefixBlocks   int `json:"max_prefix_blocks"`
}

// Endpoints holds the time limits for exchanges with endpoints.
type Endpoints struct {
	// DialTimeoutMs is the maximum time to open a connection.
	DialTimeoutMs int64 `json:"dial_timeout_ms"`
	// NoProgressMs is the maximum time without a byte on a connection to an
	// engine, CallNoProgressMs on one to a plain service.
	NoProgressMs     int64 `json:"no_progress_ms"`
	CallNoProgressMs int64 `json:"call_no_progress_ms"`
	// CallLimitMs is the maximum total duration of a call to a plain service.
	CallLimitMs int64 `json:"call_limit_ms"`
}

// Stop holds the times of a planned stop.
type Stop struct {
	// NoticeMs is how long the instance continues to accept requests after it
	// has notified the load balancer and its peers that it is leaving.
	NoticeMs int64 `json:"notice_ms"`
	// TimeoutMs is the maximum time for requests in flight to finish.
	TimeoutMs int64 `json:"timeout_ms"`
}

// Notice returns NoticeMs as a duration.
func (s Stop) Notice() time.Duration { return time.Duration(s.NoticeMs) * time.Millisecond }

// Timeout returns TimeoutMs as a duration.
func (s Stop) Timeout() time.Duration { return time.Duration(s.TimeoutMs) * time.Millisecond }

// Default returns the default settings; a file overrides them.
func Default() Settings {
	return Settings{
		Listen: Listen{Callers: "127.0.0.1:8080", Peers: "127.0.0.1:8081", Admin: "127.0.0.1:8082"},
		Requests: Requests{
			DefaultDeadlineMs: 30_000, MaxDeadlineMs: 3_600_000, MaxBodyBytes: 4 << 20, MaxHeaderBytes: 32 << 10,
			EngineBlockTokens: 16, PrefixBlockTokens: 64, MaxPrefixBlocks: 64,
		},
		Endpoints: Endpoints{DialTimeoutMs: 1_000, NoProgressMs: 3_000, CallNoProgressMs: 30_000, CallLimitMs: 120_000},
		Stop:      Stop{NoticeMs: 2_000, TimeoutMs: 600_000},
	}
}

// Load reads, parses and checks a settings file.
func Load(file string) (Settings, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	s, err := Parse(src)
	return s, trace.Wrap(err, "settings file %s", file)
}

// Parse parses and checks settings in JSON with comments. Unknown fields are errors.
func Parse(src []byte) (Settings, error) {
	s := Default()
	std, err := hujson.Standardize(src)
	if err != nil {
		return s, trace.BadParameter("not JSON with comments: %v", err)
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, trace.BadParameter("%v", err)
	}
	return s, trace.Wrap(s.check())
}

// check returns an error for the first setting that is missing or invalid.
func (s *Settings) check() error {
	required := []struct{ path, value string }{
		{"name", s.Name}, {"zone", string(s.Zone)}, {"listen.callers", s.Listen.Callers}, {"listen.peers", s.Listen.Peers},
		{"listen.admin", s.Listen.Admin}, {"platform.log", s.Platform.Log}, {"platform.instance_list", s.Platform.InstanceList},
		{"keys.peer_key_file", s.Keys.PeerKeyFile}, {"keys.operator_hash_file", s.Keys.OperatorHashFile},
	}
	for _, r := range required {
		if r.value == "" {
			return trace.BadParameter("%s is required", r.path)
		}
	}
	positive := []struct {
		path  string
		value int64
	}{
		{"requests.default_deadline_ms", s.Requests.DefaultDeadlineMs}, {"requests.max_deadline_ms", s.Requests.MaxDeadlineMs},
		{"requests.max_body_bytes", s.Requests.MaxBodyBytes}, {"requests.prefix_block_tokens", int64(s.Requests.PrefixBlockTokens)},
		{"requests.engine_block_tokens", int64(s.Requests.EngineBlockTokens)}, {"requests.max_prefix_blocks", int64(s.Requests.MaxPrefixBlocks)}, {"stop.timeout_ms", s.Stop.TimeoutMs},
		{"endpoints.dial_timeout_ms", s.Endpoints.DialTimeoutMs}, {"endpoints.no_progress_ms", s.Endpoints.NoProgressMs},
		{"endpoints.call_no_progress_ms", s.Endpoints.CallNoProgressMs}, {"endpoints.call_limit_ms", s.Endpoints.CallLimitMs},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return trace.BadParameter("%s must be above zero", p.path)
		}
	}
	if s.Limits.MemoryMB < 0 || s.Limits.Descriptors < 0 {
		return trace.BadParameter("limits.memory_mb and limits.descriptors must not be below zero")
	}
	if s.Requests.PrefixBlockTokens%s.Requests.EngineBlockTokens != 0 {
		return trace.BadParameter("requests.prefix_block_tokens must be a multiple of requests.engine_block_tokens")
	}
	if (s.TLS.CertFile == "") != (s.TLS.KeyFile == "") {
		return trace.BadParameter("tls.cert_file and tls.key_file must be set together")
	}
	return nil
}
