#!/usr/bin/env bash
# Needs the build of the deploy file and review/build-3.sh. Exit status: 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/slowadviser
if [ ! -x "$program" ] || [ ! -x target/daemon/gooseberryd ]; then
  echo "run review/build-3.sh first" >&2
  exit 2
fi
timeout --kill-after=2 115 "$program" review/14/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
