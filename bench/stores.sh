#!/bin/sh
# How long a promise takes to be on the disk: an own file, H2 MVStore, SQLite and RocksDB, at 130 and 5,000 a second, all with
# group commit. Fetches the last three from the registry. Usage: bench/stores.sh [SECONDS]
exec mvn -q -B -ntp -f "$(dirname "$0")/stores/pom.xml" compile exec:java -Dexec.args="${1:-8}"
