#!/usr/bin/env bash
# Runs case 1; see claim.txt. With TROUBLE=0 the zones are not cut.
cd "$(dirname "$0")" || exit 2
exec ../../target/review/case1 ../.. .
