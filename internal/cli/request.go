package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/callerapi"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// maxErrorBytes is the largest JSON body that is read of an error or a request's
// status.
const maxErrorBytes = 64 << 10

// requestOptions are the flags of the request commands.
type requestOptions struct {
	instance, keyFile           string
	model, adapter, prompt      string
	maxTokens                   int
	stream                      bool
	service, method, path, data string
	tier, requestKey, label     string
	deadline                    time.Duration
}

// requestCommand groups the commands for callers.
func (a *App) requestCommand() *cobra.Command {
	var o requestOptions
	cmd := group("request", "Send a request as a caller, or show the state of one")
	cmd.PersistentFlags().StringVar(&o.instance, "instance", "", "address of an instance or of the load balancer (default $"+EnvInstance+")")
	cmd.PersistentFlags().StringVar(&o.keyFile, "key-file", "", "file with the organisation's key (default: key in $"+EnvKey+")")
	cmd.AddCommand(a.requestSendCommand(&o), a.requestShowCommand(&o))
	return cmd
}

// callerRequest returns a request builder with the instance's address and the
// organisation's key.
func (a *App) callerRequest(o requestOptions) (*sling.Sling, error) {
	address := a.flagOrEnv(o.instance, EnvInstance)
	if address == "" {
		return nil, fail(ExitUsage, trace.BadParameter("no instance is specified"), "Specify --instance host:port or set "+EnvInstance+".")
	}
	key := a.Getenv(EnvKey)
	if o.keyFile != "" {
		data, err := a.readFile(o.keyFile)
		if err != nil {
			return nil, fail(ExitUsage, err, "")
		}
		key = strings.TrimSpace(string(data))
	}
	return sling.New().Base(a.url(address)).Set("Authorization", "Bearer "+key), nil
}

// exchange sends a request and returns the response. The caller closes its body.
func (a *App) exchange(ctx context.Context, s *sling.Sling) (*http.Response, error) {
	req, err := s.Request()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := a.HTTP.Do(req.WithContext(ctx))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%v", err)
	}
	return resp, nil
}

// responseError turns an error response of the system, as opposed to an endpoint's
// response, into an error with an exit code.
func (a *App) responseError(resp *http.Response) error {
	var e callerapi.Error
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&e); err != nil {
		e = callerapi.Error{Verdict: verdict.MayHaveRun, Reason: verdict.Reason(resp.Header.Get(callerapi.HeaderReason))}
	}
	return callerError(e)
}

// callerError returns the error with the exit code for an error of the caller API.
func callerError(e callerapi.Error) error {
	hint := ""
	if e.RetryAfterMs > 0 {
		hint = fmt.Sprintf("Retry after %v.", time.Duration(e.RetryAfterMs)*time.Millisecond)
	}
	code := ExitMayHaveRun
	if e.Verdict == verdict.NotRun {
		code = ExitNotRun
	}
	return fail(code, trace.Errorf("%s (%s, %s)", cell(e.Message), e.Reason, e.Verdict), hint)
}

// requestShowCommand shows the state of a request.
func (a *App) requestShowCommand(o *requestOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "show ID",
		Short: "Show the state of a request",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.requestShow(cmd.Context(), *o, args[0])
		},
	}
}

func (a *App) requestShow(ctx context.Context, o requestOptions, id string) error {
	s, err := a.callerRequest(o)
	if err != nil {
		return err
	}
	resp, err := a.exchange(ctx, s.Get(callerapi.PathRequests+id))
	if err != nil {
		return fail(ExitUnreachable, err, "The instance does not respond. Specify another one with --instance.")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a.responseError(resp)
	}
	var r callerapi.Request
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&r); err != nil {
		return fail(ExitFailure, trace.BadParameter("response can't be decoded: %v", err), "")
	}
	t := table{header: []string{"REQUEST", "STATE", "VERDICT", "REASON", "ENDPOINT", "FINISHED"}}
	t.row(r.ID, r.State, r.Verdict, r.Reason, r.Endpoint, r.At)
	return a.show(r, t)
}
