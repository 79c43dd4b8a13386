package main

import (
	"github.com/spf13/cobra"

	"github.com/medlarhold/medlarhold/internal/standin/relay"
	"github.com/medlarhold/medlarhold/internal/standin/serve"
)

// relayCommand runs a TCP forwarder that injects network faults.
func relayCommand() *cobra.Command {
	var listen, target, control string
	cmd := &cobra.Command{
		Use:   "relay",
		Short: "Run a TCP relay that can cut, delay and stall connections",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := relay.Start(listen, target)
			if err != nil {
				return err
			}
			defer r.Close()
			c, err := serve.Listen(control, r.Control())
			if err != nil {
				return err
			}
			defer c.Close()
			return announce(cmd, startupLine{Kind: "relay", Address: r.Address(), Control: c.Address()})
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on; port 0 selects a free port")
	cmd.Flags().StringVar(&target, "target", "", "address to forward to")
	cmd.Flags().StringVar(&control, "control", "127.0.0.1:0", "address of the control interface")
	_ = cmd.MarkFlagRequired("target") // fails only if the flag is not defined
	return cmd
}
