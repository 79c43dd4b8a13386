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

// maxErrorBytes bounds how much of an error answer is read.
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

// requestCommand groups the commands of callers.
func (a *App) requestCommand() *cobra.Command {
	var o requestOptions
	cmd := group("request", "Send a request as a caller, or ask what became of one")
	cmd.PersistentFlags().StringVar(&o.instance, "instance", "", "address of an instance or of the balancer (default $"+EnvInstance+")")
	cmd.PersistentFlags().StringVar(&o.keyFile, "key-file", "", "file with the organisation's key (default: key in $"+EnvKey+")")
	cmd.AddCommand(a.requestSendCommand(&o), a.requestShowCommand(&o))
	return cmd
}

// callerSling returns a request builder with the organisation's key.
func (a *App) callerSling(o requestOptions) (*sling.Sling, error) {
	address := a.or(o.instance, EnvInstance)
	if address == "" {
		return nil, fail(ExitUsage, trace.BadParameter("no instance is named"), "Give --instance host:port or set "+EnvInstance+".")
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

// exchange sends a request and returns the answer with its body still open.
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

// refusal turns an answer of the system's own into an error.
func (a *App) refusal(resp *http.Response) error {
	var e callerapi.Error
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&e); err != nil {
		e = callerapi.Error{Verdict: verdict.MayHaveRun, Reason: verdict.Reason(resp.Header.Get(callerapi.HeaderReason))}
	}
	return refusalOf(e)
}

// refusalOf turns the system's own answer into an error.
func refusalOf(e callerapi.Error) error {
	hint := ""
	if e.RetryAfterMS > 0 {
		hint = fmt.Sprintf("Come back in %v.", time.Duration(e.RetryAfterMS)*time.Millisecond)
	}
	code := ExitMayHaveRun
	if e.Verdict == verdict.NotRun {
		code = ExitNotRun
	}
	return fail(code, trace.Errorf("%s (%s, %s)", cell(e.Message), e.Reason, e.Verdict), hint)
}

// requestShowCommand asks what became of a request.
func (a *App) requestShowCommand(o *requestOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "show ID",
		Short: "Show what the system knows about a request",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.requestShow(cmd.Context(), *o, args[0])
		},
	}
}

func (a *App) requestShow(ctx context.Context, o requestOptions, id string) error {
	s, err := a.callerSling(o)
	if err != nil {
		return err
	}
	resp, err := a.exchange(ctx, s.Get(callerapi.PathRequests+id))
	if err != nil {
		return fail(ExitUnreachable, err, "The instance does not answer. Name another one with --instance.")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a.refusal(resp)
	}
	var r callerapi.Request
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&r); err != nil {
		return fail(ExitFailure, trace.BadParameter("answer can't be decoded: %v", err), "")
	}
	t := table{header: []string{"REQUEST", "STATE", "VERDICT", "REASON", "ENDPOINT", "FINISHED"}}
	t.row(r.ID, r.State, r.Verdict, r.Reason, r.Endpoint, r.At)
	return a.show(r, t)
}
