#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
case_folder="review/$(basename "$(dirname "$(realpath "$0")")")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:src:.:review python3 "$case_folder/case.py"
