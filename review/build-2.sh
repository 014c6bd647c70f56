#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start: one program, of the standard library only.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target
GO111MODULE=off GOFLAGS= go build -o target/review-2 ./review/standins/platform
