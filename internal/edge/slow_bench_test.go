package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/intake"
)

// stoppedCallersEnv makes the test binary a process of callers that read nothing: their number and the
// address of the server. A process of their own keeps their sockets out of the measured one.
const stoppedCallersEnv = "STOPPED_CALLERS"

// TestMain runs the tests, or the process of callers.
func TestMain(m *testing.M) {
	if setting := os.Getenv(stoppedCallersEnv); setting != "" {
		beStoppedCallers(setting)
		return
	}
	os.Exit(m.Run())
}

// beStoppedCallers opens connections that ask for a stream and read nothing, says so, and waits for the
// end of its input.
func beStoppedCallers(setting string) {
	count, address, _ := strings.Cut(setting, "@")
	n, err := strconv.Atoi(count)
	if err != nil {
		panic(err)
	}
	var open []net.Conn
	for i := range n {
		conn, err := dialWithBuffer(address)
		if err != nil {
			panic(err)
		}
		open = append(open, conn)
		ask(conn, "/stream/", fmt.Sprintf("r%d", i), "k")
	}
	fmt.Println("asked")
	_, _ = io.Copy(io.Discard, os.Stdin) // ends with the parent
	runtime.KeepAlive(open)
}

// BenchmarkStoppedCallers measures the memory that callers take that have asked for an answer of
// 30 KB, as long as most answers of models, and read nothing of it. The memory for all is 90 MB.
func BenchmarkStoppedCallers(b *testing.B) {
	for _, callers := range []int{1000, 10000} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			for b.Loop() {
				measureStopped(b, callers)
			}
		})
	}
}

func measureStopped(b *testing.B, callers int) {
	const answerKilobytes, memory = 30, 90 << 20
	sched := newFakeScheduler(startEndpoint(b, streamOf(answerKilobytes)))
	sched.endless, sched.limit = true, 1e9
	sched.config.Organisations = []catalog.Organisation{{ID: "crowd", Keys: []string{"k"}}}
	sched.config.Index()
	server := newServer(sched)
	server.opts.WriteTimeout = time.Minute
	server.account = intake.NewAccount(memory)
	address := startServer(b, server)
	before := memoryInUse(b)
	crowd := exec.Command(os.Args[0])
	crowd.Env = append(os.Environ(), fmt.Sprintf("%s=%d@%s", stoppedCallersEnv, callers, address))
	stdin, err := crowd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	stdout, err := crowd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := crowd.Start(); err != nil {
		b.Fatal(err)
	}
	if line, err := bufio.NewReader(stdout).ReadString('\n'); err != nil {
		b.Fatalf("the callers have not asked: %q %v", line, err)
	}
	time.Sleep(5 * time.Second) // until all answers are there
	state := server.Backlog()
	b.ReportMetric(float64(memoryInUse(b)-before)/1024, "KB")
	b.ReportMetric(float64(state.HeldBytes)/1024, "KB-counted")
	b.ReportMetric(float64(state.SlowCallers), "slow")
	b.ReportMetric(float64(state.LetGo), "let-go")
	b.ReportMetric(float64(server.InFlight()), "in-flight")
	b.ReportMetric(float64(kernelPages(b)*os.Getpagesize())/1024, "KB-kernel")
	stdin.Close()
	_ = crowd.Wait() // it ends with its input
	for server.InFlight() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse(b *testing.B) int64 {
	b.Helper()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// kernelPages returns the pages that the kernel holds for all TCP connections of the host, 0 if not
// known.
func kernelPages(b *testing.B) int {
	b.Helper()
	data, err := os.ReadFile("/proc/net/sockstat")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > 2 && fields[0] == "TCP:" {
			pages, _ := strconv.Atoi(fields[len(fields)-1]) // 0 if not known
			return pages
		}
	}
	return 0
}
