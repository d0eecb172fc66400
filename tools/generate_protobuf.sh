#!/bin/sh
# Generate the committed protobuf module from the schema; requires the extra "generate".
set -eu
cd "$(dirname "$0")/../src"
python -m grpc_tools.protoc -I robinthread/_internal/operators \
    --python_out=robinthread/_internal/operators \
    --pyi_out=robinthread/_internal/operators \
    robinthread/_internal/operators/robinthread.proto
