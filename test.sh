#!/usr/bin/env bash
# Checks the whole tree: formatting, vet, staticcheck (with the checks that staticcheck.conf names), the tests with the race detector, and the
# build that deploy/service.toml names.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l client cmd internal wire ./*.go)
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted" >&2
  exit 1
fi
go vet ./...
go tool staticcheck ./...
go test -race -count=1 -timeout 15m ./...
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)
sh -c "$build"
target/saffronbend --version
