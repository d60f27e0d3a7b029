package entry

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/store/memory"
	"github.com/chervilrun/chervilrun/internal/view"
)

// TestReadyOnceTheViewIsComplete checks that a restarted host is ready for requests from the
// balancer only once it has a configuration and a list of hosts.
func TestReadyOnceTheViewIsComplete(t *testing.T) {
	cases := map[string]struct {
		edit  func(*view.View)
		ready bool
	}{
		"empty view":             {func(v *view.View) { *v = view.View{Config: &config.Cluster{}} }, false},
		"no list of hosts":       {func(*view.View) {}, false},
		"an empty list of hosts": {func(v *view.View) { v.HostsDigest = 1 }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := testView()
			c.edit(v)
			err := newTestServer(0, v, memory.New(clockwork.NewRealClock())).Ready()
			require.Equal(t, c.ready, err == nil, err)
		})
	}
}
