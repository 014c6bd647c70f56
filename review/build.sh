#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy file. They use the standard library only. Like all code that
# speaks the platform's protocols, they lie in a folder of that name, which TestWireNamesStayInAdapter asks for.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/platform"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-standin ./*.go
