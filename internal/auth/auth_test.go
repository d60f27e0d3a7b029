package auth_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/auth"
	"github.com/chervilrun/chervilrun/internal/config"
	"github.com/chervilrun/chervilrun/internal/model"
)

func cluster(version model.ConfigVersion) *config.Cluster {
	return &config.Cluster{
		Version: version,
		Organisations: []model.Organisation{
			{ID: "a", TokenSHA256: []string{auth.Hash("old-a"), auth.Hash("new-a")}},
			{ID: "b", TokenSHA256: []string{auth.Hash("b")}},
			{ID: "no-token"},
		},
		Operators: []config.Operator{{Name: "dora", TokenSHA256: auth.Hash("dora")}},
	}
}

func TestCallerAndOperator(t *testing.T) {
	cases := []struct {
		name           string
		headers        []string
		caller         model.OrganisationID
		operator       string
		firstOperator  string
		bootstrapToken string
	}{
		{name: "no header"},
		{name: "caller's old token", headers: []string{"Bearer old-a"}, caller: "a"},
		{name: "caller's new token", headers: []string{"bearer new-a"}, caller: "a"},
		{name: "operator", headers: []string{"Bearer dora"}, operator: "dora"},
		{name: "unknown", headers: []string{"Bearer nobody"}},
		{name: "empty", headers: []string{"Bearer "}},
		{name: "hash instead of token", headers: []string{"Bearer " + auth.Hash("b")}},
		{name: "other scheme", headers: []string{"Basic b"}},
		{name: "two headers", headers: []string{"Bearer b", "Bearer old-a"}},
		{name: "too long", headers: []string{"Bearer " + strings.Repeat("x", auth.MaxTokenBytes+1)}},
		{name: "bootstrap", headers: []string{"Bearer boot"}, firstOperator: auth.BootstrapOperator},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest("GET", "/", nil)
			for _, header := range c.headers {
				r.Header.Add("Authorization", header)
			}
			caller, ok := auth.Caller(cluster(1), r)
			require.Equal(t, c.caller != "", ok)
			require.Equal(t, c.caller, caller)
			operator, ok := auth.Operator(cluster(1), auth.Hash("boot"), r)
			require.Equal(t, c.operator != "", ok)
			require.Equal(t, c.operator, operator)
			_, ok = auth.Operator(cluster(0), auth.Hash("boot"), r)
			require.Equal(t, c.firstOperator != "", ok)
			_, ok = auth.Operator(cluster(0), "", r)
			require.False(t, ok, "no bootstrap token is set")
		})
	}
}

// BenchmarkCaller looks up the last token at the planned size: 80 organisations with two
// tokens each.
func BenchmarkCaller(b *testing.B) {
	c := &config.Cluster{Version: 1}
	for i := range 80 {
		hashes := []string{auth.Hash(fmt.Sprint("old-", i)), auth.Hash(fmt.Sprint("new-", i))}
		c.Organisations = append(c.Organisations, model.Organisation{ID: model.OrganisationID(fmt.Sprint(i)), TokenSHA256: hashes})
	}
	r := httptest.NewRequest("GET", "/", nil)
	r.Header.Set("Authorization", "Bearer new-79")
	for b.Loop() {
		if _, ok := auth.Caller(c, r); !ok {
			b.Fatal("unknown")
		}
	}
}
