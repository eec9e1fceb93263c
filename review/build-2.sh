#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs that use the
# libraries of the deploy file's build (target/deps), so there is nothing to compile:
# the script checks that these libraries are there and that each program can be loaded.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 1
PYTHONPATH="$root/target/deps:$root/review/lib2:$root"
PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH PYTHONDONTWRITEBYTECODE
cd "$root" || exit 1
exec python3 -c "
import ast, importlib, pathlib
for name in ('harness', 'network', 'standin', 'catkinport.platform.main', 'catkinport.platform.daemon'):
    importlib.import_module(name)
for number in range(6, 11):
    path = pathlib.Path('review') / str(number) / 'case.py'
    if path.exists():
        ast.parse(path.read_text())
print('stand-ins are ready')
"
