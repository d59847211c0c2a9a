#!/usr/bin/env bash
# Runs golangci-lint on the given packages, or on all packages, with the settings in .golangci.yml. The version is
# pinned in tools/go.mod. The first run on a machine builds golangci-lint, which takes a minute or two.
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
