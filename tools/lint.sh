#!/usr/bin/env bash
# Runs golangci-lint over the packages given, or over all, with the settings of .golangci.yml. The version is pinned in
# tools/go.mod; the first run on a machine builds it, which takes a minute or two.
#
#   ./tools/lint.sh                      all packages
#   ./tools/lint.sh ./internal/manager   one package
set -euo pipefail
cd "$(dirname "$0")/.."
go build -C tools -o ../target/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint
if [ $# -eq 0 ]; then
  set -- ./...
fi
exec target/golangci-lint run "$@"
