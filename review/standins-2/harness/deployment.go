package harness

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/medlarhold/medlarhold/internal/standin/relay"
	"github.com/medlarhold/medlarhold/platform"
	"github.com/medlarhold/medlarhold/platform/standin"
)

// firstPort is below the ports that this program uses.
const firstPort = 23000

// program is the platform's instance, run from the root of the repository.
var program = []string{"target/medlarholdd", "platform"}

// Deployment is a store and the instances in front of it.
type Deployment struct {
	Store      *standin.Store
	StoreRelay *relay.Relay
	Instances  []*Instance

	c     *Case
	ports *standin.Ports
}

// Instance is one process of the system.
type Instance struct {
	Name, Zone, Callers, Ready string

	c        *Case
	settings string
	log      string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// NewDeployment starts a store.
func NewDeployment(c *Case) (*Deployment, error) {
	d := &Deployment{Store: standin.NewStore(), c: c, ports: standin.NewPorts(firstPort)}
	c.OnEnd(d.Store.Close)
	d.Store.SetPageSize(standin.PlatformPageSize)
	var err error
	if d.StoreRelay, err = relay.Start("127.0.0.1:0", d.Store.Address()); err != nil {
		return nil, err
	}
	c.OnEnd(d.StoreRelay.Close)
	return d, nil
}

// Configure writes the operator's configuration.
func (d *Deployment) Configure(config string) { d.Store.Put("keyed.op", "config", []byte(config)) }

// StartInstances starts instances, count in each zone.
func (d *Deployment) StartInstances(zones []string, count int) error {
	var table strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&table, "%s = \"is-south\"\n", z)
	}
	for _, z := range zones {
		for i := range count {
			if err := d.addInstance(fmt.Sprintf("front-%s-%d", z, i+1), z, table.String()); err != nil {
				return err
			}
		}
	}
	return d.AwaitReady(20 * time.Second)
}

// settingsText is the settings file of an instance, with the bounds of a small deployment.
const settingsText = `node = %q
role = "gateway"
machine-class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "is-south"
peer-port-range = [%d,%d]
seeds = []
bootstrap = true
count-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
[zones]
%s
[listen]
front = %q
ready = %q
[limits]
cpu-share = 0.272
cores = 1
memory-mb = 120
max-fds = 2870
link-mbps = 700.0
disk-mb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
sync-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
apply-ms = 2000
downgrade-ms = 250
max-skew-ms = 5000
strict-revoke = true
revoke-ms = 5000
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 116
quota-window-s = 8
quota-over = 0.1
quota-slack = 140000
recover-s = 12
pass-ms = 120
reuse-window-s = 9.2
[platform]
addr = %q
form = "log"
writes-per-s = 400
reads-per-s = 2000
parts = 12
append-ms = 2.0
part-mb-s = 20.0
read-mb-s = 80.0
record-bytes = 262144
call-bytes = 2097152
keep_s = 300
part-mb = 200
ttl-min-ms = 1000
`

func (d *Deployment) addInstance(name, zone, zones string) error {
	first := d.portPair()
	in := &Instance{
		Name: name, Zone: zone, c: d.c, Callers: d.ports.NextAddress(), Ready: d.ports.NextAddress(),
		settings: filepath.Join(d.c.Dir, name+".toml"), log: filepath.Join(d.c.Dir, name+".log"),
	}
	text := fmt.Sprintf(settingsText, name, d.ports.Host(), zone, first, first+1, zones, in.Callers, in.Ready, d.StoreRelay.Address())
	if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
		return err
	}
	d.Instances = append(d.Instances, in)
	d.c.OnEnd(func() { in.Stop(syscall.SIGKILL) })
	return in.Start()
}

// portPair returns the first of two adjacent free ports.
func (d *Deployment) portPair() int {
	for {
		if first, second := d.ports.Next(), d.ports.Next(); second == first+1 {
			return first
		}
	}
}

// Start starts the process.
func (in *Instance) Start() error {
	log, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	in.cmd = exec.Command(program[0], program[1:]...)
	in.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+in.settings)
	in.cmd.Stdout, in.cmd.Stderr = log, log
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if this program is killed
	if err := in.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait() // the log shows how the process ended
		close(exited)
	}(in.cmd)
	in.c.Log("start %s, callers at %s", in.Name, in.Callers)
	return nil
}

// StartAgain starts the process of a system that has run before.
func (in *Instance) StartAgain() error {
	text, err := os.ReadFile(in.settings)
	if err != nil {
		return err
	}
	text = []byte(strings.Replace(string(text), "bootstrap = true", "bootstrap = false", 1))
	if err := os.WriteFile(in.settings, text, 0o600); err != nil {
		return err
	}
	return in.Start()
}

// Signal sends a signal to the process.
func (in *Instance) Signal(s syscall.Signal) {
	in.c.Log("signal %v to %s", s, in.Name)
	_ = in.cmd.Process.Signal(s) // fails if the process has already ended
}

// Stop sends a signal to the process and waits until it has ended.
func (in *Instance) Stop(s syscall.Signal) {
	in.Signal(s)
	<-in.exited
}

// Exited reports whether the process has ended.
func (in *Instance) Exited() bool {
	select {
	case <-in.exited:
		return true
	default:
		return false
	}
}

// IsReady reports whether the instance is ready for clients.
func (in *Instance) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + in.Ready + "/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// AwaitReady waits until all instances are ready.
func (d *Deployment) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, in := range d.Instances {
		for !in.IsReady() {
			if time.Now().After(end) {
				return errors.New(in.Name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
		d.c.Log("%s is ready", in.Name)
	}
	return nil
}

// listen listens on an address that was used before.
func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Pid returns the id of the process.
func (in *Instance) Pid() int { return in.cmd.Process.Pid }
