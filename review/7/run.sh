#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves its disruption out. Exit status: 0 held, 1 broken, 2 could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
exec .venv/bin/python "review/$(basename "$(dirname "$(realpath "$0")")")/case.py"
