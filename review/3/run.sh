#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
# Bytecode is kept under target/, so that this folder holds only the cases.
export PYTHONPATH=target/deps PYTHONPYCACHEPREFIX=target/review
exec python3 -m review.3.case
