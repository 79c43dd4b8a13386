package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/callerapi"
	"github.com/medlarhold/medlarhold/internal/sse"
)

// requestSendCommand sends one request.
func (a *App) requestSendCommand(o *requestOptions) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "send",
		Short: "Send one request, without retries",
		Long: "Sends a completion request to a model, or a call to a plain service. The response is\n" +
			"written to standard output, the request's id and verdict to standard error. The request\n" +
			"is never sent twice.",
		Example: "  medlarhold request send --model narrative --prompt 'Draft the report' --tier patient\n" +
			"  medlarhold request send --service ledger --method POST --path /transfers --data @t.json --request-key t-17",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.requestSend(cmd.Context(), *o)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.model, "model", "", "model to send the prompt to")
	f.StringVar(&o.adapter, "adapter", "", "adapter of the model")
	f.StringVar(&o.prompt, "prompt", "", "prompt, or @FILE")
	f.IntVar(&o.maxTokens, "max-tokens", 256, "maximum number of tokens in the response")
	f.BoolVar(&o.stream, "stream", false, "print the response as it arrives")
	f.StringVar(&o.service, "service", "", "pool of the plain service to call")
	f.StringVar(&o.method, "method", http.MethodGet, "method of the call")
	f.StringVar(&o.path, "path", "/", "path of the call")
	f.StringVar(&o.data, "data", "", "body of the call, or @FILE")
	f.StringVar(&o.tier, "tier", "", "tier (default: the contract's default tier)")
	f.StringVar(&o.requestKey, "request-key", "", "idempotency key; required for calls that may not be repeated")
	f.StringVar(&o.label, "label", "", "label for the work, chosen by the caller")
	f.DurationVar(&o.deadline, "deadline", 0, "time within which the response is useful")
	cmd.MarkFlagsMutuallyExclusive("model", "service")
	cmd.MarkFlagsOneRequired("model", "service")
	return cmd
}

func (a *App) requestSend(ctx context.Context, o requestOptions) error {
	s, err := a.callerRequest(o)
	if err != nil {
		return err
	}
	if s, err = a.withRequest(s, o); err != nil {
		return err
	}
	resp, err := a.exchange(ctx, s)
	if err != nil {
		return fail(ExitMayHaveRun, err, "The connection failed after the request was sent or may have been sent. Do not repeat the request without a request key.")
	}
	defer resp.Body.Close()
	fmt.Fprintf(a.Err, "request %s: status %d, verdict %s\n", cell(resp.Header.Get(callerapi.HeaderRequestID)), resp.StatusCode,
		cell(resp.Header.Get(callerapi.HeaderVerdict)))
	if resp.Header.Get(callerapi.HeaderReason) != "" {
		return a.responseError(resp)
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), sse.ContentType) {
		return a.copyStream(resp)
	}
	if _, err := io.Copy(a.Out, resp.Body); err != nil {
		return incompleteAnswer(resp, err)
	}
	return nil
}

// incompleteAnswer returns the error for a response that ended early.
func incompleteAnswer(resp *http.Response, err error) error {
	return fail(ExitMayHaveRun, trace.ConnectionProblem(err, "response is incomplete: %v", err),
		"To see the state of the request, run: medlarhold request show "+resp.Header.Get(callerapi.HeaderRequestID))
}

// withRequest adds the headers, path and body of the call that the flags describe.
func (a *App) withRequest(s *sling.Sling, o requestOptions) (*sling.Sling, error) {
	for field, value := range map[string]string{
		callerapi.HeaderTier:       o.tier,
		callerapi.HeaderRequestKey: o.requestKey,
		callerapi.HeaderLabel:      o.label,
	} {
		if value != "" {
			s.Set(field, value)
		}
	}
	if o.deadline > 0 {
		s.Set(callerapi.HeaderDeadlineMs, strconv.FormatInt(o.deadline.Milliseconds(), 10))
	}
	text := o.data
	if o.model != "" {
		text = o.prompt
	}
	body, err := a.textOrFile(text)
	if err != nil {
		return nil, err
	}
	if o.model != "" {
		return s.Post(callerapi.PathCompletions).BodyJSON(callerapi.Completion{
			Model: o.model, Adapter: o.adapter, Prompt: string(body), MaxTokens: o.maxTokens, Stream: o.stream,
		}), nil
	}
	return withMethod(s, o.method, callerapi.PathServices+o.service+"/"+strings.TrimPrefix(o.path, "/"), body)
}

// withMethod sets the method, path and body of a call.
func withMethod(s *sling.Sling, method, path string, body []byte) (*sling.Sling, error) {
	set, ok := map[string]func(string) *sling.Sling{
		http.MethodGet: s.Get, http.MethodHead: s.Head, http.MethodPost: s.Post,
		http.MethodPut: s.Put, http.MethodPatch: s.Patch, http.MethodDelete: s.Delete,
	}[strings.ToUpper(method)]
	if !ok {
		return nil, fail(ExitUsage, trace.BadParameter("unknown method %q", method), "")
	}
	s = set(path)
	if len(body) > 0 {
		s.Body(bytes.NewReader(body))
	}
	return s, nil
}

// textOrFile returns the text itself, or the content of the file if it has the form
// @FILE.
func (a *App) textOrFile(text string) ([]byte, error) {
	name, isFile := strings.CutPrefix(text, "@")
	if !isFile {
		return []byte(text), nil
	}
	data, err := a.readFile(name)
	if err != nil {
		return nil, fail(ExitUsage, err, "")
	}
	return data, nil
}
