package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/gateway"
)

// beliefsCommand shows the state snapshot of an instance that serves transparent
// routes.
func (a *App) beliefsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "beliefs METRICS-ADDRESS...",
		Short: "Show the state that an instance serving transparent routes acts on, and its age",
		Long: "Queries the instance at its metrics address, host:port, and shows the configuration in force and the\n" +
			"age of the proof that it is the newest, the endpoints, the coordinator and the brokers that grant\n" +
			"slots, and the running and waiting requests. Only the broker of a pool and zone counts its slots:\n" +
			"query that instance for them. Given several instances, it shows what each value of a belief is\n" +
			"held by, so that those that differ stand out.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 1 {
				return a.compareStates(cmd.Context(), args)
			}
			b, err := a.stateSnapshot(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return a.showStateSnapshot(b)
		},
	}
}

// stateSnapshot fetches the state snapshot of the instance with that metrics address.
func (a *App) stateSnapshot(ctx context.Context, address string) (*gateway.StateSnapshot, error) {
	req, err := sling.New().Base("http://" + address).Get(gateway.StatePath).Request()
	if err != nil {
		return nil, fail(ExitUsage, trace.BadParameter("%q is not host:port: %v", address, err), "Specify the metrics address of an instance.")
	}
	res, err := a.HTTP.Do(req.WithContext(ctx))
	if err != nil {
		return nil, fail(ExitUnreachable, trace.ConnectionProblem(err, "instance at %s: %v", address, err), "Check whether the process is running, and read its last log lines.")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, fail(ExitFailure, trace.Errorf("instance at %s responded with %s", address, res.Status), "Its control goroutine is overloaded, or it serves no transparent routes.")
	}
	var b gateway.StateSnapshot
	if err := json.NewDecoder(res.Body).Decode(&b); err != nil {
		return nil, fail(ExitFailure, trace.BadParameter("response of the instance at %s can't be decoded: %v", address, err), "Check whether this tool and the instance have the same version.")
	}
	return &b, nil
}

func (a *App) showStateSnapshot(b *gateway.StateSnapshot) error {
	t := table{header: []string{"BELIEF", "VALUE", "AGE"}}
	t.row("instance", b.Instance, "")
	t.row("ready", b.Ready, "")
	t.row("leaving", b.Leaving, "")
	t.row("configuration", b.ConfigVersion, stateAge(b.ConfigAgeMs))
	t.row("endpoints", b.Endpoints, stateAge(b.EndpointsAgeMs))
	t.row("reads the store", b.ReadsStore, "")
	t.row("coordinator", b.Coordinator, "")
	t.row("takes no roles", b.Ineligible, "")
	for _, z := range b.Zones {
		t.row("zone "+string(z.Zone), fmt.Sprintf("%d live, %d suspect, %d leaving, reachable: %s", z.Members, z.Suspect, z.Leaving, cell(z.Reachable)), "")
	}
	for _, l := range b.LimitedEndpoints {
		t.row("limited endpoint "+string(l.Endpoint), fmt.Sprintf("takes %g requests a second", l.PerSecond), "")
	}
	for _, q := range b.Quarantined {
		t.row("quarantined part "+string(q.Part), fmt.Sprintf("crashed %d engines", q.Crashes), stateAge(q.LastCrashMs))
	}
	for _, l := range b.ElectedLoads {
		t.row("broker of "+string(l.Pool), b.Brokers[l.Pool], "")
		if b.Grants(l.Pool) {
			addLoad(&t, l)
		}
	}
	return a.show(b, t)
}

// addLoad adds a row for a pool's waiting requests and one for each of its
// engines.
func addLoad(t *table, l broker.Load) {
	t.row("waiting for "+string(l.Pool), l.Waiting, "")
	for _, e := range l.Engines {
		state := fmt.Sprintf("%d of %d slots", e.Running, e.Slots)
		switch {
		case e.Leaving:
			state += ", leaving"
		case e.Unresponsive:
			state += ", silent"
		case e.PausedMs > 0:
			state += ", paused"
		}
		t.row("engine "+string(e.Endpoint), state+servingState(e), "")
	}
}

// servingState describes what the broker has learned of how an engine serves.
func servingState(e broker.EngineLoad) string {
	out := ""
	if e.LimitReason != "" {
		out += fmt.Sprintf(", limit %d (%s)", e.Limit, e.LimitReason)
	}
	if e.Slowness > 0 {
		out += fmt.Sprintf(", %.2f times the mean time", e.Slowness)
	}
	if e.Slowdown > 0 {
		out += fmt.Sprintf(", slowdown %.2f", e.Slowdown)
		if !e.SlowdownUsed {
			out += " (not used)"
		}
	}
	return out
}

// stateAge formats an age in milliseconds; a negative one means that the state was
// never learned.
func stateAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return age(ms)
}
