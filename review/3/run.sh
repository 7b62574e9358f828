#!/usr/bin/env bash
# Runs the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/bin/edgenode" ] && [ -x "$root/review/bin/standin" ] || exit 2
timeout -k 2 110 "$root/review/bin/standin" ceiling "$root" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
