#!/bin/sh
# Time until a journal record is durable on disk: plain file, H2 MVStore, SQLite and RocksDB, at 130 and 5,000 records per
# second, all with group commit. Maven downloads the last three. Usage: bench/stores.sh [SECONDS]
exec mvn -q -B -ntp -f "$(dirname "$0")/stores/pom.xml" compile exec:java -Dexec.args="${1:-8}"
