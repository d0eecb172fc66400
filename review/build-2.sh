#!/bin/sh
# Builds what the scripts of the second review start: the deploy file's build, then the stand-ins.
# Nothing is fetched once the first line's folder is there.
cd "$(dirname "$0")/.." || exit 2
[ target/deps -nt requirements.txt ] || python3 -m pip install -q -U --target target/deps -r requirements.txt || exit 2
# The stand-ins need no compiler: this checks that each of them can be loaded.
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:src:.:review python3 -c "
import rig2.site, rig2.workers, tests.lib.store_server, robinthread._internal.standins.store_standin
"
