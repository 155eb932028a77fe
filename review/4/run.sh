#!/bin/bash
# An entry of another writer that can't be read, then a drain and a restart of all processes.
# Run review/build-2.sh first. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/unreadable_entry
[ -x "$program" ] && [ -x target/release/sequoiatraild ] || { echo "build first"; exit 2; }
"$program" review/4
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
