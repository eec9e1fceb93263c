#!/bin/sh
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec sh "$here/../lib2/run.sh" "$here"
