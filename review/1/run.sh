#!/bin/sh
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out.
exec python3 "$(dirname "$0")/case.py"
