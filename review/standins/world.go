//go:build review

// Command standins plays the cases of the review. It starts instances of the project as separate
// processes, with stand-ins for the platform's store, the engines and the clients on loopback.
package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/medlarhold/medlarhold/platform/standin"
)

// program is what the deploy file runs on each machine.
const program = "target/medlarholdd"

// errNotPlayed is the panic of a case that could not run.
type errNotPlayed struct{ why string }

// world is one small deployment with its record.
type world struct {
	began   time.Time
	dir     string
	trouble bool
	store   *standin.Store

	mu        sync.Mutex
	record    *os.File
	engines   []*engine
	instances []*instance
	broken    []string
}

// newWorld returns a deployment without instances and engines.
func newWorld(recordPath string) *world {
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	record, err := os.Create(recordPath)
	must(err)
	w := &world{began: time.Now(), dir: dir, record: record, trouble: os.Getenv("TROUBLE") != "0", store: standin.NewStore()}
	w.store.SetPageSize(standin.PlatformPageSize)
	w.log("trouble=%v", w.trouble)
	return w
}

func must(err error) {
	if err != nil {
		panic(errNotPlayed{err.Error()})
	}
}

// log writes a line of the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.log("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// close ends all processes and stand-ins, and returns the exit status of the case.
func (w *world) close() int {
	for _, in := range w.instances {
		in.end(syscall.SIGKILL)
	}
	for _, e := range w.engines {
		e.close()
	}
	w.store.Close()
	status := 0
	if len(w.broken) > 0 {
		status = 1
	}
	w.log("%d breaches, exit %d", len(w.broken), status)
	fmt.Printf("%d breaches\n", len(w.broken))
	for i, b := range w.broken {
		if i < 5 {
			fmt.Println(" ", b)
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", w.dir)
	} else {
		os.RemoveAll(w.dir)
	}
	w.record.Close()
	return status
}

// configure publishes a configuration as the operator does.
func (w *world) configure(document string) {
	w.store.Put("keyed.op", "config", []byte(document))
	w.log("operator: the store has acknowledged %s", strings.Join(strings.Fields(document), " "))
}

// instance is one machine of the system.
type instance struct {
	w                              *world
	name, zone, front, ready, path string
	peers                          int // first port
	mu                             sync.Mutex
	cmd                            *exec.Cmd
	exited                         chan struct{}
}

const settingsTemplate = `node = %q
role = "gateway"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = %q
region = "r"
peer-port-range = [%d,%d]
seeds = []
bootstrap = %v
count-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
[listen]
front = %q
ready = %q
[limits]
cpu-share = 1.0
cores = 1
memory-mb = 206
max-fds = 2940
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
retry-slack = 108
quota-window-s = 8
quota-over = 0.1
quota-slack = 140000
recover-s = 12
pass-ms = 120
reuse-window-s = 10
[platform]
addr = %q
form = "log"
writes-per-s = 400
reads-per-s = 2000
`

// addInstance starts a machine of a zone.
func (w *world) addInstance(name, zone string) *instance {
	in := &instance{w: w, name: name, zone: zone, front: freeAddress(), ready: freeAddress(), peers: freePorts(2), path: filepath.Join(w.dir, name+".toml")}
	w.instances = append(w.instances, in)
	in.start(true)
	return in
}

// start starts the process with the command of the deploy file.
func (in *instance) start(bootstrap bool) {
	settings := fmt.Sprintf(settingsTemplate, in.name, in.zone, in.peers, in.peers+1, bootstrap, in.front, in.ready, in.w.store.Address())
	must(os.WriteFile(in.path, []byte(settings), 0o600))
	log, err := os.OpenFile(filepath.Join(in.w.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	cmd := exec.Command(program, "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MEDLARHOLD_BOOT=" + in.path}
	cmd.Stdout, cmd.Stderr = log, log
	must(cmd.Start())
	exited := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.exited = cmd, exited
	in.mu.Unlock()
	in.w.log("%s: started", in.name)
	go func() {
		_ = cmd.Wait()
		in.w.log("%s: ended, %v", in.name, cmd.ProcessState)
		close(exited)
	}()
}

// pid returns the id of the process.
func (in *instance) pid() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cmd.Process.Pid
}

// signal sends a signal to the process that the case has started.
func (in *instance) signal(s syscall.Signal) {
	in.w.log("%s: gets %v", in.name, s)
	in.mu.Lock()
	defer in.mu.Unlock()
	_ = in.cmd.Process.Signal(s)
}

// end sends a signal and waits until the process has ended.
func (in *instance) end(s syscall.Signal) {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	in.signal(s)
	<-exited
}

// isReady asks as the platform does.
func (in *instance) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + in.ready + "/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (w *world) awaitReady(instances ...*instance) {
	for _, in := range instances {
		for until := time.Now().Add(20 * time.Second); !in.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(until) {
				panic(errNotPlayed{in.name + " is not ready"})
			}
		}
		w.log("%s: ready", in.name)
	}
}

func freeAddress() string { return fmt.Sprintf("127.0.0.1:%d", freePorts(1)) }

var (
	portsMu   sync.Mutex
	portsUsed = map[int]bool{}
)

// freePorts returns the first of n adjacent free ports below the ephemeral ones.
func freePorts(n int) int {
	portsMu.Lock()
	defer portsMu.Unlock()
	for {
		first := 12000 + rand.Intn(18000)
		ok := true
		for p := first; p < first+n; p++ {
			if portsUsed[p] || !isFree(p) {
				ok = false
			}
		}
		if ok {
			for p := first; p < first+n; p++ {
				portsUsed[p] = true
			}
			return first
		}
	}
}

func isFree(port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false
	}
	l.Close()
	return true
}

var cases = map[string]func(w *world){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func play(f func(w *world), record string) (status int) {
	w := newWorld(record)
	done := make(chan int, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				w.log("the case could not run: %v", r)
				fmt.Println("the case could not run:", r)
				w.close()
				done <- 2
			}
		}()
		if _, err := os.Stat(program); err != nil {
			panic(errNotPlayed{"the build of the deploy file is missing"})
		}
		f(w)
		done <- w.close()
	}()
	select {
	case status = <-done:
		return status
	case <-time.After(118 * time.Second):
		w.log("out of time")
		w.close()
		return 2
	}
}
