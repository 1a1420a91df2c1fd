#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start.  They run on
# the libraries that the build of the deploy file puts into target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q review/lib2
PYTHONPATH=target/deps:review/lib2 python3 -c "import bed"
