#!/usr/bin/env bash
# Plays the case: exit 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standins ] || { echo "run review/build.sh first"; exit 2; }
exec review/bin/standins joined-streams review/4/record.txt
