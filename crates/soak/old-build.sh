#!/usr/bin/env bash
# Builds the balancer of an earlier commit from the history of this repository, for the
# soak's --old-binary. Prints the path of the program.
# Usage: old-build.sh COMMIT [debug|release]
set -euo pipefail
commit=$1
profile=${2:-debug}
root=$(git -C "$(dirname "$0")" rev-parse --show-toplevel)
program=$root/target/old-builds/$commit/$profile/sequoiatraild
if [[ ! -x $program ]]; then
    source=$root/target/old-builds/$commit/source
    git -C "$root" worktree prune
    [[ -d $source ]] || git -C "$root" worktree add --quiet --detach "$source" "$commit" >&2
    flags=()
    [[ $profile == release ]] && flags=(--release)
    CARGO_TARGET_DIR=$root/target/old-builds/build \
        cargo build --quiet --locked "${flags[@]}" -p sequoiatrail-daemon \
        --manifest-path "$source/Cargo.toml" >&2
    mkdir -p "$(dirname "$program")"
    cp "$root/target/old-builds/build/$profile/sequoiatraild" "$program"
    git -C "$root" worktree remove --force "$source"
fi
echo "$program"
