#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
router=../../../target/bin/reedramp-router
program=../../bin/case-memory
[ -x "$router" ] && [ -x "$program" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$program" "$(realpath "$router")" "$folder"
code=$?
tail -n 1 record.txt
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
