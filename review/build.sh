#!/bin/sh
# Builds what the scripts of the cases start. The stand-ins are Python with its standard library and need no build.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --bin dahliastiled
PYTHONDONTWRITEBYTECODE=1 python3 -c "import ast,sys; [ast.parse(open(f).read(), f) for f in sys.argv[1:]]" review/standin/standin.py review/*/case.py
