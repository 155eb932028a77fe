#!/bin/bash
# Not one of the cases; its claim is cut-watches.txt.
# Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sequoiatraild ] && [ -x target/review/stand-in ] || exit 2
exec target/review/stand-in cut-watches review/more/cut-watches.record.txt
