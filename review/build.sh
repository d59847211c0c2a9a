#!/usr/bin/env bash
# Builds the tests of the review's cases and the stand-ins that they start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/[0-9]; do
  go build -o "target/review/case${folder#review/}" "./$folder"
done
