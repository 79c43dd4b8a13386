#!/usr/bin/env bash
# Plays case 15. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disturbance out.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/medlarholdd ] || [ ! -x target/review-3/lab ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
exec target/review-3/lab 15
