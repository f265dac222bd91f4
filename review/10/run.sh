#!/usr/bin/env bash
# Plays the case of claim.txt and writes record.txt beside it. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and of review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sesameproxy ] && [ -x target/review-2/world ] || exit 2
timeout -k 8 110 target/review-2/world transactions review/10/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
