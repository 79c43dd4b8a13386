package testbed

import (
	"os/exec"
	"path/filepath"

	"github.com/gravitational/trace"
)

// Programs are the paths of the built programs.
type Programs struct {
	Daemon, CLI, Standin string
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
