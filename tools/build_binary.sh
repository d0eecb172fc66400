#!/bin/sh
# Build dist/robinthread, one executable file; needs the extra "build".
#
# Python runs it in the same process, without docstrings and assertions, which
# saves 3 MB of private memory.
set -eu
cd "$(dirname "$0")/.."
mkdir -p dist
shiv --quiet --output-file dist/robinthread --entry-point robinthread.__main__:main_and_exit \
    --python '/usr/bin/env -S python3 -OO' --reproducible .
echo "dist/robinthread: $(wc -c < dist/robinthread) bytes"
