#!/bin/sh
# Builds what the scripts of the review start. The stand-ins are Python and run from their sources,
# so this only checks that they, and what they use, can be loaded after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review exec python3 -c "
import harness
import standins.consortium_store, standins.resets, standins.scripted_server, tools.ports
print('the stand-ins of the review load')
"
