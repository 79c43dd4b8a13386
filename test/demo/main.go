// Command demo starts simulated services and four instances in two availability zones
// as separate processes on loopback, publishes the configuration of the examples,
// sends one request of each kind and prints responses, verdicts and status. It
// ends all processes that it started and removes its files. It is for
// demonstration only.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/testbed"
)

// examples are the configuration files, in the order in which they are published.
var examples = []string{"deployment.jsonc", "mystery-shopping.jsonc", "time-bank.jsonc"}

// The keys of the organisations in the examples.
const (
	shoppingKey = "birojs-demo-key"
	bankKey     = "bank-demo-key"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func run() error {
	dir, err := os.MkdirTemp("", "medlarhold-demo-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(dir)
	programs, err := testbed.Build(dir)
	if err != nil {
		return trace.Wrap(err)
	}
	bed, err := testbed.New(dir, programs)
	if err != nil {
		return trace.Wrap(err)
	}
	defer bed.Close()
	d := &demo{bed: bed, dir: dir}
	if err := d.start(); err != nil {
		return trace.Wrap(err)
	}
	if err := d.publish(); err != nil {
		return trace.Wrap(err)
	}
	if err := d.requests(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(d.status())
}

// demo is a running demonstration.
type demo struct {
	bed       *testbed.Bed
	dir       string
	instances []*testbed.Instance
}

// start starts two instances in each of two zones.
func (d *demo) start() error {
	for _, name := range []string{"a-1", "a-2", "b-1", "b-2"} {
		zone, _, _ := strings.Cut(name, "-")
		in, err := d.bed.StartInstance("instance-"+name, d.bed.InstanceSettings("instance-"+name, entity.ZoneID(zone)))
		if err != nil {
			return trace.Wrap(err)
		}
		d.instances = append(d.instances, in)
		fmt.Printf("started %s in zone %s, callers at %s, operators at %s\n", in.ID, zone, in.Callers, in.Admin)
	}
	for _, in := range d.instances {
		if err := in.WaitReady(); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, in := range d.instances {
		if err := in.WaitMembers(len(d.instances)); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// publish publishes the examples with the addresses of simulated endpoints.
func (d *demo) publish() error {
	files := make([]string, 0, len(examples))
	for _, name := range examples {
		file, err := d.withLocalEndpoints(name)
		if err != nil {
			return trace.Wrap(err)
		}
		files = append(files, file)
	}
	return d.cli(append([]string{"config", "publish", "--wait"}, files...)...)
}

// withLocalEndpoints starts a simulated endpoint for each endpoint of an example and
// writes a copy of the file with their addresses.
func (d *demo) withLocalEndpoints(name string) (string, error) {
	src, err := os.ReadFile(filepath.Join("examples", name))
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	objects, problems := config.Parse(name, src)
	if len(problems) > 0 {
		return "", trace.BadParameter("%s", problems[0])
	}
	out := make([]map[string]any, 0, len(objects))
	for _, o := range objects {
		spec := make(map[string]any)
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			return "", trace.Wrap(err)
		}
		if o.Kind == config.KindEndpoint {
			if spec["address"], err = d.startEndpoint(spec); err != nil {
				return "", trace.Wrap(err)
			}
		}
		out = append(out, map[string]any{"kind": o.Kind, "name": o.Name, "spec": spec})
	}
	data, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		return "", trace.Wrap(err)
	}
	file := filepath.Join(d.dir, name)
	return file, trace.ConvertSystemError(os.WriteFile(file, data, 0o600))
}

// startEndpoint starts a simulated engine or plain service for an endpoint's spec and
// returns its address.
func (d *demo) startEndpoint(spec map[string]any) (string, error) {
	kind := "service"
	if _, ok := spec["models"]; ok {
		kind = "engine"
	}
	s, err := d.bed.StartStandin(kind, map[string]any{})
	if err != nil {
		return "", trace.Wrap(err)
	}
	return s.Address, nil
}

// requests sends one request of each kind, through the instances in turn.
func (d *demo) requests() error {
	for i, r := range []struct {
		title, key string
		args       []string
	}{
		{"a narrative from a visit report", shoppingKey, []string{"--model", "narrative", "--prompt", "Visit report: the pharmacy in Ogre was clean.", "--max-tokens", "12", "--tier", "report"}},
		{"a field look-up", shoppingKey, []string{"--service", "shoppers", "--path", "/lookup?shop=17", "--tier", "field"}},
		{"a payout booking", shoppingKey, []string{"--service", "shoppers", "--method", "POST", "--path", "/payouts", "--data", `{"shopper":4,"eur":12}`, "--request-key", "payout-4-17"}},
		{"the same payout booking again", shoppingKey, []string{"--service", "shoppers", "--method", "POST", "--path", "/payouts", "--data", `{"shopper":4,"eur":12}`, "--request-key", "payout-4-17"}},
		{"a match check", bankKey, []string{"--model", "skills", "--prompt", "Can Jon shovel snow at noon?", "--max-tokens", "6", "--tier", "interactive"}},
		{"a credit transfer", bankKey, []string{"--service", "ledger", "--method", "POST", "--path", "/transfers", "--data", `{"from":"anna","to":"jon","hours":2}`, "--request-key", "transfer-9"}},
	} {
		in := d.instances[i%len(d.instances)]
		fmt.Printf("\n== %s, through %s\n", r.title, in.ID)
		keyFile := filepath.Join(d.dir, "caller.key")
		if err := os.WriteFile(keyFile, []byte(r.key), 0o600); err != nil {
			return trace.ConvertSystemError(err)
		}
		if err := d.cli(append([]string{"request", "send", "--instance", in.Callers, "--key-file", keyFile}, r.args...)...); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (d *demo) status() error {
	for _, args := range [][]string{{"config", "status"}, {"instances"}, {"endpoints"}, {"pools"}} {
		fmt.Printf("\n== medlarhold %s\n", strings.Join(args, " "))
		if err := d.cli(args...); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// cli runs the command-line tool.
func (d *demo) cli(args ...string) error {
	cmd := exec.CommandContext(context.Background(), d.bed.Programs.CLI, args...)
	cmd.Env = append(os.Environ(), "MEDLARHOLD_LOG="+d.bed.Platform, "MEDLARHOLD_ADMIN="+d.instances[0].Admin,
		"MEDLARHOLD_OPERATOR_KEY="+testbed.OperatorKey, "MEDLARHOLD_OPERATOR=demo")
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stdout
	if err := cmd.Run(); err != nil {
		return trace.Wrap(err, "medlarhold %s", strings.Join(args, " "))
	}
	return nil
}
