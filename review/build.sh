#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-standin .
