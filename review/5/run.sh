#!/usr/bin/env bash
# Runs this case; status 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the
# disruption. Needs the build of deploy/system.toml and review/build.sh. Writes record.txt into this folder.
set -u
cd "$(dirname "$0")/../.." || exit 2
Program=target/review/case-5
[ -x "$Program" ] && [ -x target/bin/ragwortmux ] || exit 2
export TROUBLE=${TROUBLE:-1}
timeout --signal=KILL 115 "$Program" review/5
Status=$?
[ "$Status" -le 2 ] || Status=2
exit "$Status"
