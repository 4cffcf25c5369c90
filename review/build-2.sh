#!/bin/sh
# Builds the stand-ins of the second review's cases: they are Python and run as they are, so this
# checks that each of them loads with the packages of the deploy build alone.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review exec python3 -c \
    "import fleet_2, standins.consortium_store, standins.scripted_server, standins.relay"
