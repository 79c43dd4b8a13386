package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"
	"github.com/oklog/ulid/v2"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/adminapi"
	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/version"
)

// Environment variables that are read when the corresponding flag is not given.
const (
	EnvLog         = "MEDLARHOLD_LOG"
	EnvAdmin       = "MEDLARHOLD_ADMIN"
	EnvOperatorKey = "MEDLARHOLD_OPERATOR_KEY"
	EnvOperator    = "MEDLARHOLD_OPERATOR"
	EnvInstance    = "MEDLARHOLD_INSTANCE"
	EnvKey         = "MEDLARHOLD_KEY"
	EnvCAFile      = "MEDLARHOLD_CA_FILE"
)

// App holds the streams, clients and clocks that all commands share. The zero
// value is not usable; see NewApp.
type App struct {
	Out, Err io.Writer
	In       io.Reader
	HTTP     *http.Client
	Getenv   func(string) string
	Now      func() time.Time
	// NewID returns a new unique id.
	NewID func() string
	// Sleep waits for d or until ctx is done.
	Sleep func(ctx context.Context, d time.Duration) error
	// Backoff sets the delays between attempts of an append; nil selects
	// exponential backoff.
	Backoff backoff.BackOff
	// Version is the version of the program.
	Version string

	flags flags
}

// flags holds the values of the flags that all commands accept.
type flags struct {
	output      string
	log         string
	admin       []string
	operator    string
	operatorKey string // name of the file that holds the key
	caFile      string
}

// NewApp returns an App for the process.
func NewApp() *App {
	return &App{
		Out: os.Stdout, Err: os.Stderr, In: os.Stdin,
		HTTP:    &http.Client{},
		Getenv:  os.Getenv,
		Now:     time.Now,
		NewID:   func() string { return ulid.Make().String() },
		Sleep:   sleep,
		Version: version.String(),
	}
}

// sleep waits for d on the real clock, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run runs the command line and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) ExitCode {
	root := a.Command()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(a.Err, "medlarhold: %s\n", strings.ReplaceAll(trace.UserMessage(err), "\n\t", ": "))
	var e *exitError
	if errors.As(err, &e) && e.hint != "" {
		fmt.Fprintf(a.Err, "%s\n", e.hint)
	}
	return codeOf(err)
}

// Command returns the tool's root command.
func (a *App) Command() *cobra.Command {
	root := &cobra.Command{
		Use:           "medlarhold",
		Short:         "Operate the medlarhold request scheduler",
		Long:          "medlarhold publishes configuration, shows the state of the instances and sends requests.\n\n" + exitCodesHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetOut(a.Out)
	root.SetErr(a.Err)
	root.SetIn(a.In)
	f := root.PersistentFlags()
	f.StringVarP(&a.flags.output, "output", "o", outputTable, "output format: table or json")
	f.StringVar(&a.flags.log, "log", "", "URL of the platform's log service (default $"+EnvLog+")")
	f.StringSliceVar(&a.flags.admin, "admin", nil, "admin addresses of one or more instances (default $"+EnvAdmin+")")
	f.StringVar(&a.flags.operator, "operator", "", "operator's name, recorded with each change (default $"+EnvOperator+" or $USER)")
	f.StringVar(&a.flags.operatorKey, "operator-key-file", "", "file with the operator's key (default: key in $"+EnvOperatorKey+")")
	f.StringVar(&a.flags.caFile, "ca-file", "", "file with the CA certificates (PEM) to trust; addresses without a scheme then use TLS (default $"+EnvCAFile+")")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		return errors.Join(a.checkOutput(), a.trustCA())
	}
	root.AddCommand(
		a.configCommand(),
		a.instancesCommand(),
		a.endpointsCommand(),
		a.poolsCommand(),
		a.requestCommand(),
		a.drainCommand(),
		a.explainCommand(),
		a.reportCommand(),
		a.beliefsCommand(),
		a.rolloutCommand(),
		a.keyCommand(),
		a.versionCommand(),
	)
	return root
}

// group returns a command that has only sub-commands and prints its help when it
// is called without one.
func group(use, short string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
}

// log returns the client of the log service.
func (a *App) log() (platform.Log, error) {
	url := a.flagOrEnv(a.flags.log, EnvLog)
	if url == "" {
		return nil, fail(ExitUsage, trace.BadParameter("no log service is specified"), "Specify --log URL or set "+EnvLog+".")
	}
	return platform.NewHTTPLog(url, a.HTTP), nil
}

// flagOrEnv returns the flag's value, or else the environment variable's.
func (a *App) flagOrEnv(flag, env string) string {
	if flag != "" {
		return flag
	}
	return a.Getenv(env)
}

// operator returns the operator's name.
func (a *App) operator() string {
	if name := a.flagOrEnv(a.flags.operator, EnvOperator); name != "" {
		return name
	}
	return a.Getenv("USER")
}

// operatorKey returns the operator's key.
func (a *App) operatorKey() (string, error) {
	if a.flags.operatorKey == "" {
		return a.Getenv(EnvOperatorKey), nil
	}
	data, err := os.ReadFile(a.flags.operatorKey)
	if err != nil {
		return "", fail(ExitUsage, trace.ConvertSystemError(err), "")
	}
	return strings.TrimSpace(string(data)), nil
}

// adminAddresses returns the admin addresses from the flag, or else from the
// environment variable.
func (a *App) adminAddresses() ([]string, error) {
	list := a.flags.admin
	if env := a.Getenv(EnvAdmin); len(list) == 0 && env != "" {
		list = strings.Split(env, ",")
	}
	if len(list) == 0 {
		return nil, fail(ExitUsage, trace.BadParameter("no instance is specified"), "Specify --admin host:port or set "+EnvAdmin+".")
	}
	return list, nil
}

// client returns a client of the instance at the address.
func (a *App) client(address string) (*adminapi.Client, error) {
	key, err := a.operatorKey()
	if err != nil {
		return nil, err
	}
	return adminapi.NewClient(a.url(address), key, a.HTTP), nil
}

// follower returns a follower that has read the whole published configuration.
func (a *App) follower(ctx context.Context, log platform.Log) (*config.Follower, error) {
	f := config.NewFollower()
	if _, err := f.Sync(ctx, log, a.Now); err != nil {
		return nil, readFailure(err)
	}
	return f, nil
}

// readFailure returns the error for a failed read of the log, with its exit code
// and hint.
func readFailure(err error) error {
	if errors.Is(err, platform.ErrUnavailable) {
		return fail(ExitUnreachable, err, "The log service does not respond. Check --log and try again; nothing was changed.")
	}
	return fail(ExitFailure, err, "")
}
