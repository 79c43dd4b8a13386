package testbed

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/gravitational/trace"
)

// Process is one started program.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	once sync.Once
}

// start runs a program and decodes into listening the line of JSON that the program prints once it
// listens. The standard error of the program is appended to logFile.
func start(logFile string, listening any, program string, args ...string) (*Process, error) {
	logs, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer logs.Close()
	cmd := exec.Command(program, args...)
	cmd.Stderr = logs
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := cmd.Start(); err != nil {
		return nil, trace.Wrap(err, "starting %s", filepath.Base(program))
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	line, readErr := bufio.NewReader(out).ReadBytes('\n')
	go p.wait(out)
	if readErr != nil {
		p.Kill()
		return nil, trace.Wrap(readErr, "%s did not start, see %s", filepath.Base(program), logFile)
	}
	return p, trace.Wrap(json.Unmarshal(line, listening))
}

// wait discards further output and waits for the process to end.
func (p *Process) wait(out io.Reader) {
	_, _ = io.Copy(io.Discard, out)
	p.err = p.cmd.Wait()
	close(p.done)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return trace.Wrap(p.cmd.Process.Signal(s)) }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the exit code. It may be called only after Done is closed.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.once.Do(func() { _ = p.cmd.Process.Kill() })
	<-p.done
}
