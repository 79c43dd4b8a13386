#!/usr/bin/env bash
# Builds the stand-ins of the second review, which the scripts of its cases start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec "${GO:-go}" build -o target/review-2/ ./review/standins-2/cmd/...
