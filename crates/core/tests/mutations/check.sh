#!/bin/sh
# Applies each mutation of this directory in turn and runs the test that must
# find it. Prints the minimal failing case of each. Fails if one is not found.
#
# Run it from the root of a clean working tree; it changes the source and
# reverts each change. With names of mutations as arguments, runs only those.
set -u

dir=crates/core/tests/mutations
if [ -n "$(git status --porcelain crates/core/src)" ]; then
    echo "crates/core/src has changes; commit or stash them first" >&2
    exit 2
fi

current=
restore() { [ -z "$current" ] || git apply -R "$current"; current=; }
trap restore EXIT
trap 'exit 130' INT TERM

missed=0
[ $# -gt 0 ] || set -- "$dir"/*.patch
for patch in "$@"; do
    name=$(basename "$patch" .patch)
    test=$(sed -n 's/^Found by: //p' "$dir/$name.patch")
    cases=$(sed -n 's/^Cases: //p' "$dir/$name.patch")
    git apply "$dir/$name.patch" || exit 2
    current=$dir/$name.patch
    if ! cargo build -q -p peatdeck-core; then
        echo "== $name: does not build" >&2
        exit 2
    fi
    echo "== $name"
    export PEATDECK_FUZZ_CASES="${cases:-1000}"
    if out=$(RUST_BACKTRACE=0 cargo test -q -p peatdeck-core --test testsuite "$test" 2>&1); then
        echo "NOT FOUND"
        missed=$((missed + 1))
    else
        echo "$out" | sed -n -e '/^seed /,/^$/p' -e '/^Test failed/,/successes/p'
    fi
    restore
done
echo "$missed not found"
[ "$missed" -eq 0 ]
