#!/usr/bin/env bash
# Needs the build of the deploy file and review/build.sh. TROUBLE=0: the same
# without the disruption. Ends with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run; record.txt tells what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
timeout 118 review/build/trial restart "${TROUBLE:-1}" target/daemon/gooseberryd \
  review/1/record.txt "$scratch"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
