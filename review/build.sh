#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They are Python programs, the
# project's own store (platform/standin) among them, so this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
command -v python3 >/dev/null
for file in platform/standin/*.py review/common/*.py review/[0-9]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -x target/bin/peridotshelf || echo "build the deploy file first" >&2
