#!/usr/bin/env bash
# The stand-ins are of Python's library alone: building them is compiling them.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
