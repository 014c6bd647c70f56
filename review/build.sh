#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy file. They use the standard library only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standin"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-standin ./*.go
