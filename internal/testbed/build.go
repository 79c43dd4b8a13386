package testbed

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/gravitational/trace"
)

// Programs are the paths of the built programs.
type Programs struct {
	Daemon, CLI, Standin string
}

// RunTests builds the programs into a temporary directory, passes their paths to use, runs the
// tests, and removes the directory. It returns the exit code.
func RunTests(name string, use func(Programs), run func() int) int {
	dir, err := os.MkdirTemp("", "medlarhold-"+name+"-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs, err := Build(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	use(programs)
	return run()
}

// Build builds the programs into dir.
func Build(dir string) (Programs, error) {
	p := Programs{
		Daemon:  filepath.Join(dir, "medlarholdd"),
		CLI:     filepath.Join(dir, "medlarhold"),
		Standin: filepath.Join(dir, "medlarhold-standin"),
	}
	out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "github.com/medlarhold/medlarhold/cmd/...").CombinedOutput()
	if err != nil {
		return p, trace.Wrap(err, "go build: %s", out)
	}
	return p, nil
}
