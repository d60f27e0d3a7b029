// Command chervil-host serves callers and takes part in the election of the pool's owner
// on one host of the users' platform. It is configured by the platform's settings file.
package main

import (
	"os"

	"github.com/chervilrun/chervilrun/platform"
)

func main() { os.Exit(platform.Run()) }
