#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out. Exit code 1: rule broken, 0: it held, 2: could not run.
# Writes record.txt in this folder: what was sent, answered and run, and the verdict.
here="$(cd "$(dirname "$0")" && pwd)"
record="$here/record.txt"
: > "$record" || exit 2
cannot_run() { echo "$1" | tee -a "$record"; exit 2; }
cd "$here/../.." || cannot_run "no repository"
[ -x target/bin/reedramp-router ] || cannot_run "target/bin/reedramp-router is not built"
command -v python3 > /dev/null || cannot_run "there is no python3"
export PYTHONDONTWRITEBYTECODE=1
python3 "$here/case.py" &
child=$!
trap 'kill -TERM "$child" 2> /dev/null' TERM INT
wait "$child"; code=$?
while kill -0 "$child" 2> /dev/null; do wait "$child"; code=$?; done
case $code in 0) exit 0 ;; 10) exit 1 ;; *) cannot_run "the case could not run: code $code" ;; esac
