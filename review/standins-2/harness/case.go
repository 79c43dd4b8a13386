// Package harness runs the cases of the second review: instances as separate processes, and
// stand-ins of the store, the engines and the clients on loopback addresses.
package harness

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCannot   = 2
	maxCaseTime  = 115 * time.Second
	recordName   = "record.txt"
	troubleEnv   = "TROUBLE"
	troubleIsOff = "0"
)

// Case is one run of a case.
type Case struct {
	// Trouble is false if the case runs without its disruption.
	Trouble bool
	// Dir receives settings and logs, and is removed at the end.
	Dir string

	began   time.Time
	mu      sync.Mutex
	record  *os.File
	cleanup []func()
	closing sync.Once
}

// Main runs a case and ends the process with its exit code. The argument is the folder of the
// case, which receives record.txt. run reports whether the rule was broken.
func Main(run func(c *Case) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		os.Exit(exitCannot)
	}
	c := &Case{Trouble: os.Getenv(troubleEnv) != troubleIsOff, began: time.Now()}
	var err error
	if c.record, err = os.Create(filepath.Join(os.Args[1], recordName)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	if c.Dir, err = os.MkdirTemp("", "medlarhold-case-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() { c.end(exitCannot, fmt.Sprint("stopped by ", <-stop)) }()
	time.AfterFunc(maxCaseTime, func() { c.end(exitCannot, "the case took too long") })
	c.Log("disruption: %v", c.Trouble)
	broken, err := run(c)
	switch {
	case err != nil:
		c.end(exitCannot, "could not run: "+err.Error())
	case broken:
		c.end(exitBroken, "the rule was broken")
	}
	c.end(exitHeld, "the rule held")
}

// end ends all that the case has started, and the process.
func (c *Case) end(code int, message string) {
	c.closing.Do(func() {
		c.Log("%s", message)
		fmt.Println(message)
		c.mu.Lock()
		cleanup := c.cleanup
		c.mu.Unlock()
		for i := len(cleanup) - 1; i >= 0; i-- {
			cleanup[i]()
		}
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(c.Dir)
		}
		os.Exit(code)
	})
	select {} // another goroutine ends the process
}

// OnEnd has a function called at the end, the last one first.
func (c *Case) OnEnd(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleanup = append(c.cleanup, f)
}

// Now returns the time since the start of the case.
func (c *Case) Now() time.Duration { return time.Since(c.began) }

// Log writes a line to record.txt, with the time since the start.
func (c *Case) Log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", c.Now().Seconds()) + fmt.Sprintf(format, args...) + "\n"
	c.mu.Lock()
	defer c.mu.Unlock()
	// The record is checked by eye: a full disk shows there.
	_, _ = c.record.WriteString(line)
}
