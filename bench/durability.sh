#!/bin/sh
# Cost of the write-ahead journal: time from a request to the offer of tasks that are not idempotent by themselves, with
# durability none, os and disk in turn, and the ratios of the medians to none.
# Usage: bench/durability.sh [ROUNDS [SECONDS]]; about 90 s a round with 10 s.
rounds=${1:-3} seconds=${2:-10}
root=$(cd "$(dirname "$0")/.." && pwd)
jar="$root/app/target/thornferry.jar"
[ -f "$jar" ] || { echo "build first: mvn -q -DskipTests package" >&2; exit 1; }
out=$(mktemp)
trap 'rm -f "$out"' EXIT
for i in $(seq "$rounds"); do
  for d in none os disk; do
    java -jar "$jar" load --rate 130,2000 --seconds "$seconds" --nodes 100 --durability $d --json --log-level error \
      | sed "s/^{\"rate\":\([0-9]*\).*\"cpuMicrosPerTask\":\([0-9]*\).*\"toPromisedOfferMicros\":{\"p50\":\([0-9]*\),\"p99\":\([0-9]*\).*/$d \1 \2 \3 \4/" \
      | tee -a "$out"
  done
done
awk '{ n[$1,$2]++; for (f = 3; f <= 5; f++) v[$1,$2,f,n[$1,$2]] = $f }
function median(d, r, f,   i, j, t, a, c) { c = n[d,r]; for (i = 1; i <= c; i++) a[i] = v[d,r,f,i]
  for (i = 1; i <= c; i++) for (j = i + 1; j <= c; j++) if (a[j] < a[i]) { t = a[i]; a[i] = a[j]; a[j] = t }
  return a[int((c + 1) / 2)] }
END { for (k = 1; k <= 2; k++) { r = k == 1 ? 130 : 2000; for (m = 1; m <= 3; m++) { d = m == 1 ? "none" : m == 2 ? "os" : "disk"
  printf "%s tasks a second, %s: CPU %d us a task, SEND to offer p50 %d us (%.2f of none), p99 %d us (%.2f of none)\n", r, d,
    median(d, r, 3), median(d, r, 4), median(d, r, 4) / median("none", r, 4), median(d, r, 5), median(d, r, 5) / median("none", r, 5) } } }' "$out"
