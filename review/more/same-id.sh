#!/bin/bash
# Not one of the cases; its claim is same-id.txt.
# Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sequoiatraild ] && [ -x target/review/stand-in ] || exit 2
exec target/review/stand-in same-id review/more/same-id.record.txt
