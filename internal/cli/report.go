package cli

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/logs"
	"github.com/medlarhold/medlarhold/internal/report"
)

// defaultPage is the file that the report is written to.
const defaultPage = "report.html"

// reportCommand sums up log files.
func (a *App) reportCommand() *cobra.Command {
	var page string
	c := &cobra.Command{
		Use:   "report [FILE...]",
		Short: "Sum up the logs of a deployment as a page with plots",
		Long: "Reads the logs of any number of instances, from files or from standard input, and writes a page of\n" +
			"HTML: what callers got by second, reason, rank, route, zone and organisation, the events of the\n" +
			"instances, and how each configuration version reached them. With -o json it prints the figures.",
		RunE: func(_ *cobra.Command, files []string) error { return a.report(page, files) },
	}
	c.Flags().StringVarP(&page, "file", "f", defaultPage, "file that the page is written to")
	return c
}

func (a *App) report(page string, files []string) error {
	b := report.NewBuilder()
	if err := a.readLogs(files, b.Add); err != nil {
		return err
	}
	r := b.Report()
	if r.Lines == 0 {
		return fail(ExitFailure, trace.NotFound("the files have no log line of an instance"), "Specify files with the JSON lines that instances write to standard error.")
	}
	if a.flags.output == outputJSON {
		return a.showJSON(r)
	}
	f, err := os.Create(page)
	if err != nil {
		return fail(ExitUsage, trace.ConvertSystemError(err), "")
	}
	defer f.Close()
	if err := r.WritePage(f); err != nil {
		return fail(ExitFailure, err, "")
	}
	if err := f.Close(); err != nil {
		return fail(ExitFailure, trace.ConvertSystemError(err), "The page is incomplete.")
	}
	fmt.Fprintf(a.Out, "%s: %d s, %d lines\n", page, len(r.Seconds), r.Lines)
	return nil
}

// readLogs calls handle for each log line of the files, or of standard input if there are
// none.
func (a *App) readLogs(files []string, handle func(*logs.Line)) error {
	if len(files) == 0 {
		return failedRead(logs.Read("standard input", a.In, handle))
	}
	for _, name := range files {
		if err := readLogFile(name, handle); err != nil {
			return err
		}
	}
	return nil
}

func readLogFile(name string, handle func(*logs.Line)) error {
	f, err := os.Open(name)
	if err != nil {
		return fail(ExitUsage, trace.ConvertSystemError(err), "")
	}
	defer f.Close()
	return failedRead(logs.Read(name, f, handle))
}

// failedRead returns the error for a log that could not be read whole.
func failedRead(err error) error {
	if err == nil {
		return nil
	}
	return fail(ExitFailure, err, "The rest of that log was not read.")
}
