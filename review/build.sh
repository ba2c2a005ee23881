#!/bin/sh
# Builds what the scripts start besides the product: all of it is Python.
# Runs after the build of the deploy file and uses the libraries in target/deps.
set -e
cd "$(dirname "$0")/.."
# Bytecode is kept under target/, so that this folder holds only the cases.
export PYTHONPATH=target/deps PYTHONPYCACHEPREFIX=target/review
python3 -m compileall -q review standins
python3 -c "import gevent, review.deployment, standins.users_platform.instances"
echo "review: stand-ins are ready"
