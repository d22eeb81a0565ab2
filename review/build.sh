#!/bin/sh
# Checks that what run.sh of the cases needs is there. The stand-ins are Python programs that need no build:
# review/lib/kit.py and fakes/routed_site.py. The daemon comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for f in review/lib/kit.py review/*/case.py fakes/routed_site.py; do
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$f"
done
test -x target/apricotd
