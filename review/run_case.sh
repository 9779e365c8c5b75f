#!/usr/bin/env bash
# Runs the script of a case: review/run_case.sh FOLDER
set -u
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:.:review/rig" PYTHONDONTWRITEBYTECODE=1
exec timeout --kill-after=5 118 python3 "review/$1/case.py"
