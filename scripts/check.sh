#!/usr/bin/env bash
# Checks formatting, runs vet and the linter, and checks that generated code is up to date.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(gofmt -l $(git ls-files --cached --others --exclude-standard '*.go'))
if [ -n "$unformatted" ]; then
  echo "gofmt: not formatted:" >&2
  echo "$unformatted" >&2
  exit 1
fi
go vet ./...
go tool staticcheck ./...
bash scripts/generate.sh --check
