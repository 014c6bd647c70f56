#!/usr/bin/env bash
# Exits with 1 if a server of an evacuated zone gets a request too late, 0 if not, 2 if the case could not run.
# TROUBLE=0 leaves out the slow server.
# Writes record.txt beside this file.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/target/pollenentry" ] || [ ! -x "$root/target/review-2" ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first"
  exit 2
fi
TROUBLE=${TROUBLE:-1} exec "$root/target/review-2" evacuate "$root" "$here"
