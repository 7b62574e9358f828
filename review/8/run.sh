#!/usr/bin/env bash
# Plays the case slow-discovery. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
lab=../lab-2/bin/lab
if [ ! -x "$lab" ] || [ ! -x "$root/bin/edgenode" ]; then
  echo "not built: run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
exec "$lab" slow-discovery "$root" record.txt
