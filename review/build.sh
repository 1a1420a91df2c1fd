#!/bin/sh
# The stand-ins are Python, the project's own are in target/deps: compile all.
root=$(cd "$(dirname "$0")/.." && pwd)
set -e
PYTHONPATH="$root/target/deps" python3 -c "import coltsfootsail.standins.store, coltsfootsail.standins.servers, coltsfootsail.standins.users"
python3 -m compileall -q "$root/review"
