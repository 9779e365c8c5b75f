#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10: the rig of this review, and those of the
# project that it uses. They are Python, so that nothing is compiled; what they import
# has to be in target/deps, where the build of the deploy file puts it.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/rig-2 \
    python3 -c "import rig2, tanagerwalk.standins.gateway_cluster"
