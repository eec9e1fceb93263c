#!/bin/sh
# Builds what the scripts of the cases start. The daemons and the stand-ins are Python and
# use only the libraries that the build of deploy/system.toml installs into target/deps, so
# nothing is left to build after it; this checks that all of it can be imported.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
  python3 -c '
import subprocess, tomllib
build = tomllib.load(open("deploy/system.toml", "rb"))["build"]
subprocess.run(build, shell=True, check=True)
'
fi
PYTHONPATH="target/deps:." python3 -c '
import sys
sys.path.insert(0, "review/lib")
import standin, trial, catkinport.platform.daemon
'
