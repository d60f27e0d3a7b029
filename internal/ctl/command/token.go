package command

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/chervilrun/chervilrun/internal/auth"
	"github.com/chervilrun/chervilrun/internal/ctl"
)

// tokenBytes is the number of random bytes in a new token.
const tokenBytes = 32

func (p *program) token() *ffcli.Command {
	return p.group("token", "create tokens and hash them", p.tokenNew(), p.tokenHash())
}

// tokenOutput is the JSON output of the token commands.
type tokenOutput struct {
	Token  string `json:"token,omitempty"`
	SHA256 string `json:"sha256"`
}

func (p *program) tokenNew() *ffcli.Command {
	return p.leaf(spec{
		usage: "token new",
		help:  "print a new random token and its hash",
		exec: func(context.Context, []string) error {
			random := make([]byte, tokenBytes)
			if _, err := io.ReadFull(p.Random, random); err != nil {
				return errors.Wrap(err, "read random bytes")
			}
			token := base64.RawURLEncoding.EncodeToString(random)
			output := tokenOutput{Token: token, SHA256: auth.Hash(token)}
			return p.print(output, func() error {
				fmt.Fprintf(p.Stdout, "token   %s\nsha256  %s\n", output.Token, output.SHA256)
				return nil
			})
		},
	})
}

func (p *program) tokenHash() *ffcli.Command {
	return p.leaf(spec{
		usage: "token hash",
		help:  "print the hash of the token on standard input",
		exec: func(context.Context, []string) error {
			text, err := io.ReadAll(io.LimitReader(p.Stdin, auth.MaxTokenBytes+2))
			token := strings.TrimSpace(string(text))
			if err != nil || token == "" || len(token) > auth.MaxTokenBytes {
				return &ctl.UsageError{Message: fmt.Sprintf("expected a token of 1 to %d bytes on standard input", auth.MaxTokenBytes)}
			}
			output := tokenOutput{SHA256: auth.Hash(token)}
			return p.print(output, func() error {
				fmt.Fprintln(p.Stdout, output.SHA256)
				return nil
			})
		},
	})
}
