// Command lab-3 plays the scripted cases of the review: it starts instances of the system as separate
// processes, with a store, endpoints and clients of its own on loopback addresses.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/medlarhold/medlarhold/platform/standin"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	// startTimeout is how long instances may take to be ready.
	startTimeout = 15 * time.Second
	// settleTime is how long a deployment runs before its clients begin.
	settleTime = 5 * time.Second
	// caseTimeout is how long a case may take.
	caseTimeout = 115 * time.Second
)

// lab is one small deployment.
type lab struct {
	dir       string
	store     *standin.Store
	instances []*instance
	begun     time.Time
	version   int // of the configuration

	mu     sync.Mutex
	record *os.File
}

// instance is one process of the system.
type instance struct {
	name, front, ready, settings, log string
	cmd                               *exec.Cmd
	exited                            chan struct{}
}

// newLab returns a lab that writes its record to a file.
func newLab(record string) (*lab, error) {
	dir, err := os.MkdirTemp("", "lab-3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, store: standin.NewStore(), record: f, begun: time.Now()}
	l.store.SetPageSize(standin.PlatformPageSize)
	return l, nil
}

// note writes a line with the time since the start to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.begun).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (l *lab) say(format string, args ...any) {
	l.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Ports are taken from below those that the kernel gives to outgoing connections.
const (
	firstPort = 20000
	lastPort  = 30000
	maxTries  = 500
)

// freePorts returns the first of n adjacent free ports of the loopback address.
func freePorts(n int) (int, error) {
	for range maxTries {
		port := firstPort + rand.IntN(lastPort-firstPort-n)
		var open []net.Listener
		for i := range n {
			next, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+i))
			if err != nil {
				break
			}
			open = append(open, next)
		}
		for _, o := range open {
			o.Close()
		}
		if len(open) == n {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no %d adjacent free ports", n)
}

// settings is the settings file of an instance, with the bounds of the site verotajs-route.
const settings = `node = %q
role = "gateway"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = %q
region = "r"
peer-port-range = [%d,%d]
seeds = []
bootstrap = %t
heartbeat-ms = 1200
[zones]
za = "r"
[listen]
front = %q
ready = %q
[limits]
cpu-share = 0.272
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
`

// theZone is the availability zone of all instances and endpoints.
const theZone = "za"

// addInstance starts an instance.
func (l *lab) addInstance() error {
	port, err := freePorts(18)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("front-%s-%d", theZone, len(l.instances)+1)
	in := &instance{
		name: name, front: fmt.Sprintf("127.0.0.1:%d", port+16), ready: fmt.Sprintf("127.0.0.1:%d", port+17),
		settings: filepath.Join(l.dir, name+".toml"), log: filepath.Join(l.dir, name+".log"),
	}
	l.instances = append(l.instances, in)
	text := fmt.Sprintf(settings, name, theZone, port, port+15, true, in.front, in.ready, l.store.Address())
	if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
		return err
	}
	return l.start(in)
}

// start starts the process of an instance with the command of the deploy file.
func (l *lab) start(in *instance) error {
	out, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	in.cmd = exec.Command("target/medlarholdd", "platform")
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MEDLARHOLD_BOOT=" + in.settings}
	in.cmd.Stdout, in.cmd.Stderr = out, out
	if err := in.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait() // the log shows how the process ended
		close(exited)
	}(in.cmd)
	l.note("%s starts", in.name)
	return nil
}

// awaitReady waits until all instances answer their readiness check with 200.
func (l *lab) awaitReady() error {
	for _, in := range l.instances {
		for until := time.Now().Add(startTimeout); !in.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", in.name)
			}
		}
	}
	return nil
}

// instancesStarted is the number of instances of a deployment.
const instancesStarted = 3

// startInstances starts the instances, and waits until all are ready and know each other.
func (l *lab) startInstances() error {
	for range instancesStarted {
		if err := l.addInstance(); err != nil {
			return err
		}
	}
	if err := l.awaitReady(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// close ends all processes that the lab has started.
func (l *lab) close() {
	for _, in := range l.instances {
		if in.cmd == nil || in.cmd.Process == nil {
			continue
		}
		_ = in.cmd.Process.Signal(syscall.SIGCONT) // fails for a process that has ended
		_ = in.cmd.Process.Kill()
		<-in.exited
	}
	l.store.Close()
	l.record.Close()
	if os.Getenv("LAB_KEEP_LOGS") != "" {
		fmt.Println("logs:", l.dir)
		return
	}
	_ = os.RemoveAll(l.dir) // what is left is in the temporary folder
}

// troubled reports whether the disturbance of the case is to be played.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

// cases are the cases by the number of their folder. A case reports whether the rule was broken.
var cases = map[string]func(*lab) (broken bool, err error){
	"11": lateTakeUp,
	"12": deadlyPart,
	"13": plannedStop,
	"14": lastEndpointsLeave,
	"15": lastTenantLeaves,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE, in the repository's root")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1]))
}

// recordOf returns the path of a case's record.
func recordOf(number string) string {
	if path := os.Getenv("LAB_RECORD"); path != "" {
		return path
	}
	return filepath.Join("review", number, "record.txt")
}

// run plays a case and returns its exit code. The processes of the case end in any event.
func run(number string) int {
	l, err := newLab(recordOf(number))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[number](l)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-time.After(caseTimeout):
		r.err = errors.New("it took too long")
	case s := <-interrupted:
		r.err = fmt.Errorf("signal %v", s)
	}
	switch {
	case r.err != nil:
		l.say("the case could not run: %v", r.err)
		return exitNotRun
	case r.broken:
		l.say("the rule is broken")
		return exitBroken
	}
	l.say("the rule holds")
	return exitHeld
}
