#!/bin/bash
# Builds the stand-ins that the scripts of this review start, with the Rust compiler alone:
# they use only the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-in-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] || rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
