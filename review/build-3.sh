#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 14 start: the ones in
# review/lib3, and the project's stand-in of the store.  They run on the
# libraries that the build of the deploy file puts into target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/lib3 python3 -c "import bed3, server3, coltsfootsail.standins.store"
python3 -m compileall -q review/lib3 review/11 review/12 review/13 review/14
