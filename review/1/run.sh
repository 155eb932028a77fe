#!/bin/bash
# One entry that can't be read, by another writer, among those of the targets.
# Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sequoiatraild ] && [ -x target/review/stand-in ] || exit 2
exec target/review/stand-in unreadable-entry review/1/record.txt
