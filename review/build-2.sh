#!/usr/bin/env bash
# Builds the programs of the second review's cases, each with its stand-ins, into target/review-2/.
# The programs of the deploy file are built before, by its own command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/{6,7,8,9,10}; do
  if [ -f "$folder/main.go" ]; then
    go build -o "target/review-2/case-${folder#review/}" "./$folder"
  fi
done
