#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/deregistration ] || exit 2
target/review-2/deregistration review/10/record.txt &
pid=$!
trap 'pkill -KILL -P $pid; kill -KILL $pid; exit 2' INT TERM
wait $pid
