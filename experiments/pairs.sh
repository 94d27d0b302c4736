#!/bin/sh
# Plays the same days with two versions, each in a worktree of its own, and prints the figures side by side.
# usage: experiments/pairs.sh BENCH SITE BEFORE AFTER DAY...   BEFORE and AFTER: folders of worktrees
# Reports go to target/pairs in AFTER. Two plays at once at most; processor time is not charged.
set -eu
bench=$(realpath "$1") site=$(realpath "$2") before=$(realpath "$3") after=$(realpath "$4")
shift 4
reports="$after/target/pairs"
mkdir -p "$reports"
for day in "$@"; do
    for version in before after; do
        eval "folder=\$$version"
        (cd "$folder" && "$bench" run "$site" "$day" --no-cpu --jobs 1 --report "$reports/$day.$version.json" \
            --why "pair: $day, $version" > "$reports/$day.$version.txt" 2>&1) &
    done
    wait
    python3 "$after/experiments/pair_rows.py" "$reports/$day.before.json" "$reports/$day.after.json"
done
