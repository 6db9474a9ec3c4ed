#!/usr/bin/env bash
# Plays the case once: 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root="$(cd ../.. && pwd)"
program="$root/target/review-3/case-$(basename "$PWD")"
export GATEWAY="$root/target/mangolink-gateway"
[ -x "$program" ] && [ -x "$GATEWAY" ] || exit 2
WORK="$(mktemp -d)" || exit 2
export WORK
timeout --kill-after=5 110 "$program"
result=$?
rm -rf "$WORK"
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac
