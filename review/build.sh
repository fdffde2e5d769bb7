#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python and need only what the build of the deploy file has made.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
