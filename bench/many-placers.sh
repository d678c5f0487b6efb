#!/bin/sh
# CPU time and memory of 380 placer instances and 100 nodes on one machine, all connected and exchanging heartbeats, at 130
# tasks per second in all. Placers and nodes are spread over four processes each, so that none exceeds the usual limit of
# open files.
# Usage: bench/many-placers.sh [SECONDS]; needs ports 20000 to 20394 of loopback.
seconds=${1:-60}
root=$(cd "$(dirname "$0")/.." && pwd)
jar="$root/app/target/thornferry.jar"
[ -f "$jar" ] || { echo "build first: mvn -q -DskipTests package" >&2; exit 1; }
work=$(mktemp -d)
pids=""
trap 'for p in $pids; do kill "$p" 2>/dev/null; done; rm -rf "$work"' EXIT
run() { java -Xmx1500m -XX:+UseSerialGC -jar "$jar" "$@"; }
run load --print-site --clients 380 > "$work/site.toml"
for p in 0 1 2 3; do
  sed "s/^name = \"load\"/name = \"load$p\"/; s/^port = .*//; s/^instances = .*/instances = 95\nplacers = 380\nport = 20${p}00/" \
    "$work/site.toml" > "$work/site$p.toml"
  java -Xmx1500m -XX:+UseSerialGC -jar "$jar" placer "$work/site$p.toml" --log-level error > "$work/p$p.out" 2>&1 &
  pids="$pids $!"
done
sleep 4
for a in 0 1 2 3; do
  java -Xmx1500m -XX:+UseSerialGC -jar "$jar" agent --instant --node "n$a" --count 25 --zone hall-a,hall-b,hall-c \
    --kind std-node --cores 24 --memory 60 --login load-node --passcode load --log-level error --seed "$((a * 100))" \
    --placer 127.0.0.1:20000-20094,127.0.0.1:20100-20194,127.0.0.1:20200-20294,127.0.0.1:20300-20394 \
    > "$work/a$a.out" 2>&1 &
  pids="$pids $!"
done
sleep 30
cpu() { for p in $pids; do awk '{print $14 + $15}' "/proc/$p/stat"; done | paste -sd' '; }
echo "connections: $(ss -Htn state established 'sport >= 20000 and sport <= 20394' 2>/dev/null | wc -l)"
before=$(cpu)
run load --rate 130 --seconds "$seconds" --nodes 0 --clients 380 \
  --attach 127.0.0.1:20000-20094,127.0.0.1:20100-20194,127.0.0.1:20200-20294,127.0.0.1:20300-20394
after=$(cpu)
echo "$before" "$after" $pids | awk -v s="$seconds" '{for (i = 1; i <= 8; i++) {
  printf "%s %d: %.1f s CPU over about %d s of load\n", (i <= 4 ? "placers" : "nodes"), $(16 + i), ($(8 + i) - $i) / 100, s}}'
for p in $pids; do echo "process $p: $(awk '/VmRSS/ {printf "%d MB resident", $2 / 1024}' "/proc/$p/status")"; done
cat "$work"/*.out | grep -vE "listens on|nodes for" | head -5
exit 0
