#!/usr/bin/env bash
# Checks the whole tree: formatting, go.mod, go vet, the linters configured in .golangci.yml, all tests with the race
# detector except the known failures listed in KNOWN-RED.txt, and the build command from deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "files not formatted with gofmt: $unformatted" >&2
  exit 1
fi
go mod tidy -diff
go vet ./...
./tools/lint.sh
go run ./internal/knownred -race -count=1 -timeout=15m -- ./...
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)
sh -c "$build"
target/saffronbend --version
