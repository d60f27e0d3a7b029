package adminapi_test

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/adminapi"
	"github.com/chervilrun/chervilrun/internal/problem"
)

// FuzzCalls sends arbitrary calls of an operator. Every response must be JSON, every
// refusal a problem document, and the configuration in force must remain valid.
func FuzzCalls(f *testing.F) {
	for _, seed := range [][4]string{
		{"GET", "config", "", ""}, {"PUT", "config", `"1"`, "format = 1"}, {"PUT", "config", "*", ""},
		{"PUT", "config", `"18446744073709551616"`, ""}, {"POST", "config/check", "", "[[zone]]\nid = \"a\""},
		{"POST", "zones/%2e%2e/out", "", ""}, {"POST", "zones//in", "", ""}, {"POST", "zones/a%00/in", "", ""},
		{"GET", "timeline?limit=-1&since=0", "", ""}, {"GET", "timeline?%zz", "", ""}, {"DELETE", "../config", "", ""},
		{"PUT", "config", `"1"`, text("[[service]]\nid = \"s\"\norganisation = \"o\"\n")},
	} {
		f.Add(seed[0], seed[1], seed[2], seed[3])
	}
	f.Fuzz(func(t *testing.T, method, path, ifMatch, body string) {
		env := newTestEnv(t)
		env.submitFirstConfig()
		r := httptest.NewRequest("GET", adminapi.Prefix, strings.NewReader(body))
		r.Method = method
		r.URL.Path, r.URL.RawQuery, _ = strings.Cut(adminapi.Prefix+path, "?")
		r.Header.Set("Authorization", "Bearer dora")
		r.Header["If-Match"] = []string{ifMatch}
		w := httptest.NewRecorder()
		env.handler.ServeHTTP(w, r)
		if w.Code >= 300 && w.Code < 400 {
			return
		}
		require.True(t, json.Valid(w.Body.Bytes()), w.Body.String())
		if w.Code != 200 {
			var document problem.Document
			require.NoError(t, problem.Read(w.Result(), &document))
			require.NotEmpty(t, document.Reason)
		}
		env.updateView()
	})
}
