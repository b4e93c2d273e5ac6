#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/pistachiowinch ] || exit 2
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 python3 review/15/scenario.py
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
