#!/usr/bin/env bash
# Runs the case against the build of the deploy file, and writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. With TROUBLE=0 the disruption is left out.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
cd "$here/../.." || exit 2
[[ -x target/pollenentry && -x target/review-standin ]] || { echo "build the deploy file, then run review/build.sh"; exit 2; }
exec target/review-standin extra "$here"
