#!/bin/bash
# Targets are restarted in place and keep their identities, while balancers are rolled.
# Run review/build-2.sh first. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/start_in_place
[ -x "$program" ] && [ -x target/release/sequoiatraild ] || { echo "build first"; exit 2; }
"$program" review/6
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
