#!/usr/bin/env bash
# Mutation tests: removes each mechanism listed in proofs.txt from a scratch copy,
# one at a time, and runs the test that must then fail. Prints one line for each
# and exits with 1 unless all of them fail.
set -uo pipefail
cd "$(dirname "$0")/.."
list=scripts/proofs.txt
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
missed=0
while IFS='|' read -r name file from to package test; do
  case "$name" in ''|'#'*) continue ;; esac
  [ -z "${1:-}" ] || [ "$1" = "$name" ] || continue
  rm -rf "$scratch/tree" && mkdir "$scratch/tree" && cp -r cmd internal platform main.go go.mod go.sum "$scratch/tree/"
  if ! python3 - "$scratch/tree/$file" "$from" "$to" <<'EOF'
import sys
p, a, b = [x.replace("OROR", "||").replace("NEWLINE", "\n") for x in sys.argv[1:]]
s = open(p).read()
sys.exit(0 if a in s and not open(p, 'w').write(s.replace(a, b, 1)) == 0 else 1)
EOF
  then
    echo "$name: NOT FOUND in $file"; missed=1; continue
  fi
  out=$(cd "$scratch/tree" && timeout 170 go test -count=1 -timeout 160s -run "$test" "$package" 2>&1)
  if [ $? = 0 ]; then echo "$name: PASSES without its mechanism ($test)"; missed=1
  elif grep -qE 'build failed|setup failed|^panic: (#|[^ ]+\.go:[0-9]+:)' <<<"$out"; then echo "$name: DOES NOT BUILD: $(grep -m1 'go:' <<<"$out")"; missed=1
  else echo "$name: FAILS as it must: $(grep -m1 -E '_test.go:[0-9]+:|panic:' <<<"$out" | sed 's/^ *//' | cut -c1-150)"
  fi
done <"$list"
exit $missed
