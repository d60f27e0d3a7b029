// Command chervilctl is the operators' command line.
package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"

	"github.com/chervilrun/chervilrun/internal/ctl/command"
	"github.com/chervilrun/chervilrun/internal/process"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := command.Run(ctx, command.Env{
		Args:    os.Args[1:],
		Stdin:   os.Stdin,
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Clock:   clockwork.NewRealClock(),
		Random:  rand.Reader,
		Version: process.Version(),
	})
	stop()
	os.Exit(code)
}
