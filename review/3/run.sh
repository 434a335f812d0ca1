#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps
python3 -c "import beamhatch.platform, twisted" || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
exec python3 review/3/case.py
