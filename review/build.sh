#!/usr/bin/env bash
# The stand-ins are Python files and need no build; checks that all can be loaded with
# what the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:.:review/rig" PYTHONDONTWRITEBYTECODE=1
python3 -c "import client, engine, fleet, tanagerwalk.standins.metadata"
