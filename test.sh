#!/usr/bin/env bash
# Checks the whole tree: formatting, go.mod, vet, the linters of .golangci.yml, the tests with the race detector but for
# those that KNOWN-RED.txt lists, and the build that deploy/service.toml names.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted" >&2
  exit 1
fi
go mod tidy -diff
go vet ./...
./tools/lint.sh
go run ./internal/knownred -race -count=1 -timeout=15m -- ./...
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)
sh -c "$build"
target/saffronbend --version
