#!/usr/bin/env bash
# Generates Go code from the .proto files under internal/rpc. With --check it generates
# to a temporary folder and compares; it skips this without protoc of the version below.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly protoc_version="libprotoc 3.21.12"
if [ "$(protoc --version 2>/dev/null || true)" != "$protoc_version" ]; then
  echo "generate: $protoc_version is not installed"
  [ "${1:-}" = "--check" ] && exit 0
  exit 1
fi

tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools/" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp

out=.
if [ "${1:-}" = "--check" ]; then
  out="$tools/out"
  mkdir -p "$out"
fi
PATH="$tools:$PATH" protoc -I . --go_out="$out" --go_opt=paths=source_relative \
  --twirp_out="$out" --twirp_opt=paths=source_relative internal/rpc/*.proto
if [ "${1:-}" = "--check" ]; then
  for file in "$out"/internal/rpc/*.go; do
    cmp "$file" "internal/rpc/$(basename "$file")"
  done
fi
