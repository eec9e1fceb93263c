#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python, so that this compiles them
# and checks that they can be imported with what the build of the deploy file has put
# under target/deps. Run it after that build.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -m compileall -q review/lib3 catkinport/platform/standin catkinport/standins
python3 -c "
import sys
sys.path.insert(0, 'review/lib3')
import advice, harness, late_orders, standin
"
echo "stand-ins of review/lib3 are built"
