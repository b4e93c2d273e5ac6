#!/bin/bash
# Checks the stand-ins of the scripts in review/12 and later: they use the standard library alone, so
# that there is nothing to install. The program itself is built by the command of the deploy file.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 python3 -c "
import harness3.callers, harness3.hosts, harness3.instances, harness3.record, harness3.store"
