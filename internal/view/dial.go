package view

import (
	"net/http"

	"github.com/chervilrun/chervilrun/internal/rpc"
)

// Dialer returns a function that creates Relay clients for admin addresses over the given
// HTTP client.
func Dialer(client *http.Client) func(address string) rpc.Relay {
	return func(address string) rpc.Relay {
		return rpc.NewRelayProtobufClient("http://"+address, client)
	}
}
