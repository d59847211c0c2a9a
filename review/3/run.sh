#!/usr/bin/env bash
# Runs case 3; see claim.txt. With TROUBLE=0 the submission has no unknown field.
cd "$(dirname "$0")" || exit 2
exec ../../target/review/case3 ../.. .
