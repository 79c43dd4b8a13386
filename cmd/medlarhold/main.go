// Command medlarhold is the command-line tool of operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/medlarhold/medlarhold/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.NewApp().Run(ctx, os.Args[1:])
	stop()
	os.Exit(int(code))
}
