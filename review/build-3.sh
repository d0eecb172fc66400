#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, for use without a network.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q src/robinthread tests/lib review/rig3
PYTHONPATH=target/deps:src:. python3 -c "import review.rig3.deployment"
