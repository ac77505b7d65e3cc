#!/bin/bash
# Builds the stand-ins of all scripts, into review/bin. Needs g++ only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cc other/*/case.cc; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread -o "bin/case-$name" "$source"
done
