#!/usr/bin/env bash
# Runs all tests. Tests listed in KNOWN-RED.txt (first word of a line that is
# neither empty nor a comment) are printed and passed over; nothing else is.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -s KNOWN-RED.txt ]; then
  names=$(grep -vE '^\s*(#|$)' KNOWN-RED.txt | awk '{print $1}' | paste -sd'|' || true)
  if [ -n "$names" ]; then
    echo "KNOWN-RED.txt: passed over, still failing:"
    grep -vE '^\s*(#|$)' KNOWN-RED.txt
    skip=(-skip "^(${names})\$")
  fi
fi
exec "${GO:-go}" test -count=1 "${skip[@]}" ./...
