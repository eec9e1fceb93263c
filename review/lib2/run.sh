#!/bin/sh
# Runs the program case.py of a case's folder with the libraries of the build.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
here=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
PYTHONPATH="$root/target/deps:$root/review/lib2:$root"
PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH PYTHONDONTWRITEBYTECODE
cd "$root" || exit 2
python3 "$here/case.py"
status=$?
# Python's own exit status for an error of the case's program is 1.
if [ "$status" -eq 1 ] && ! tail -n 1 "$here/record.txt" | grep -q "RESULT: the rule was broken"; then
  status=2
fi
exit "$status"
