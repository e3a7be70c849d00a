#!/usr/bin/env bash
# Runs this case; see claim.txt. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec bash "$here/../stand-ins-2/run-case.sh" starved-array "$here"
