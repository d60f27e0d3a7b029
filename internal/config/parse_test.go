package config_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/config"
)

func TestEveryMistakeIsReportedWithItsPosition(t *testing.T) {
	text, err := os.ReadFile("testdata/mistakes.toml")
	require.NoError(t, err)
	want, err := os.ReadFile("testdata/mistakes.txt")
	require.NoError(t, err)
	cluster, problems := config.Parse(text)
	require.Nil(t, cluster)
	var got []string
	for _, p := range problems {
		got = append(got, p.String())
	}
	require.Equal(t, strings.TrimSpace(string(want)), strings.Join(got, "\n"))
}

func TestSyntaxAndSize(t *testing.T) {
	cases := []struct {
		name, text, message string
		line, column        int
	}{
		{"not TOML", "format = 1\n[[zone]\n", "expected", 2, 7},
		{"key twice", "format = 1\nformat = 1\n", "already", 2, 1},
		{"table twice", "[zone]\nid = 'a'\n[zone]\n", "already", 3, 2},
		{"too large", strings.Repeat("#", config.MaxTextBytes+1), "too large", 0, 0},
		{"invalid UTF-8", "format = 1 # \xff\n", "UTF-8", 1, 14},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cluster, problems := config.Parse([]byte(c.text))
			require.Nil(t, cluster)
			require.Len(t, problems, 1)
			require.Contains(t, problems[0].Message, c.message)
			require.Equal(t, []int{c.line, c.column}, []int{problems[0].Line, problems[0].Column})
		})
	}
}

func TestOtherFormsOfTOMLReadTheSame(t *testing.T) {
	canonical, err := os.ReadFile("testdata/canonical.toml")
	require.NoError(t, err)
	other, err := os.ReadFile("testdata/other_form.toml")
	require.NoError(t, err)
	cluster, problems := config.Parse(other)
	require.Empty(t, problems)
	require.Equal(t, string(canonical), string(config.Canonical(cluster)))
}

func TestProblemWithoutAPosition(t *testing.T) {
	_, problems := config.Parse([]byte("format = 1\n"))
	require.Equal(t, "zone: there is no zone; add a [[zone]] with an id and a region", problems[1].String())
}
