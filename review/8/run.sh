#!/bin/bash
# Stale reads are seconds old while manifests come in quick succession and targets are replaced.
# Run review/build-2.sh first. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/stale_reads
[ -x "$program" ] && [ -x target/release/sequoiatraild ] || { echo "build first"; exit 2; }
"$program" review/8
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
