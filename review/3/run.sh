#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
.venv/bin/python "$folder/case.py"
code=$?
case $code in
  0 | 1) grep -q 'result: the rule' "$folder/record.txt" && exit $code ;;
esac
exit 2
