#!/bin/bash
# Builds the stand-ins of all cases, into review/bin. Needs g++ only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cc; do
    name=$(dirname "$source")
    g++ -std=c++20 -O1 -pthread -o "bin/case-$name" "$source"
done
