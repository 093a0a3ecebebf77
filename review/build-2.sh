#!/bin/sh
# Builds the programs of the cases 6 to 10. They need only the standard library. The daemon itself is built
# by the build command of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/tools-2/*.rs; do
    name=$(basename "$source" .rs)
    if [ "$name" != fleet ]; then
        rustc --edition 2024 -O "$source" -o "target/review-2/$name"
    fi
done
