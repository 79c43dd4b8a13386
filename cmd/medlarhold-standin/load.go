package main

import (
	"encoding/json"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"

	"github.com/medlarhold/medlarhold/internal/standin/load"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	settings string
	journal  string
	output   string
}

// loadCommand generates load on instances and reports goodput and latencies.
func loadCommand() *cobra.Command {
	var flags loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests in an open loop and report goodput and latencies by tier",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return flags.run(cmd)
		},
	}
	cmd.Flags().StringVar(&flags.settings, "settings", "", "settings file, JSON with comments; - for standard input")
	cmd.Flags().StringVar(&flags.journal, "journal", "", "file for the answers, one JSON object per line")
	cmd.Flags().StringVarP(&flags.output, "output", "o", "table", "format of the report: table or json")
	_ = cmd.MarkFlagRequired("settings") // fails only if the flag is not defined
	return cmd
}

func (f *loadFlags) run(cmd *cobra.Command) error {
	if f.output != "table" && f.output != "json" {
		return trace.BadParameter("--output must be table or json")
	}
	settings, err := f.read(cmd.InOrStdin())
	if err != nil {
		return err
	}
	journal, err := f.open()
	if err != nil {
		return err
	}
	defer journal.Close()
	report, err := load.Run(cmd.Context(), settings, journal)
	if err != nil {
		return err
	}
	if f.output == "json" {
		return trace.Wrap(json.NewEncoder(cmd.OutOrStdout()).Encode(report))
	}
	return report.WriteTable(cmd.OutOrStdout())
}

// read reads and decodes the settings file.
func (f *loadFlags) read(stdin io.Reader) (load.Settings, error) {
	var s load.Settings
	data, err := readFile(f.settings, stdin)
	if err != nil {
		return s, trace.ConvertSystemError(err)
	}
	data, err = hujson.Standardize(data)
	if err != nil {
		return s, trace.BadParameter("%s: %v", f.settings, err)
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, trace.BadParameter("%s: %v", f.settings, err)
	}
	return s, nil
}

func readFile(name string, stdin io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(name)
}

// open creates the journal file; without a name the answers are discarded.
func (f *loadFlags) open() (io.WriteCloser, error) {
	name := f.journal
	if name == "" {
		name = os.DevNull
	}
	file, err := os.Create(name)
	return file, trace.ConvertSystemError(err)
}
