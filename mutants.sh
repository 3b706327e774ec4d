#!/usr/bin/env bash
# Switches off one mechanism after another in a copy of the work tree, and names the tests that
# notice. Run by hand: ./mutants.sh DIR [NAME...], where DIR is a directory for the copy.
set -euo pipefail
cd "$(dirname "$0")"
DIR=${1:?give a directory for the copy}
shift
LIST=$PWD/mutants.txt
mkdir -p "$DIR"

git ls-files -co --exclude-standard | grep -v '^journal/' | tar -cf - -T - | tar -xmf - -C "$DIR"

# Replaces one text by another in a file of the copy; fails if the text is not there.
replace() {
  FROM=$2 TO=$3 perl -0pi -e '
    BEGIN { ($from, $to) = @ENV{"FROM", "TO"}; s/\\n/\n/g, s/\\\|/|/g for $from, $to }
    $found = index($_, $from) >= 0; substr($_, index($_, $from), length $from) = $to if $found;
    END { exit($found ? 0 : 1) }' "$DIR/$1"
}

trim() { sed -e 's/^ *//' -e 's/ *$//'; }

while IFS= read -r line; do
  case $line in '#'* | '') continue ;; esac
  mapfile -t part < <(echo "$line" | perl -pe 's/(?<!\\)\|/\n/g')
  name=$(echo "${part[0]}" | trim)
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
  file=$(echo "${part[1]}" | trim)
  replace "$file" "$(echo "${part[2]}" | trim)" "$(echo "${part[3]}" | trim)" ||
    { echo "$name: the text is not in $file; correct mutants.txt"; cat "$file" >"$DIR/$file"; continue; }
  # Only the platform's path is tried; the product's own agents share its decisions.
  found=$(cd "$DIR" && { cargo build --quiet --workspace --bins 2>&1 | grep -E '^error' | sed 's/^/does not build: /'
    cargo test --quiet --no-fail-fast -p rhubarb-core -p rhubarb-platform -p rhubarb-edge \
      -p rhubarb-node -p rhubarb-soak 2>&1
    cargo test --quiet --no-fail-fast -p rhubarb-e2e --test platform_plain --test platform_streams \
      --test platform_store --test platform_eras --test platform_stops 2>&1; } |
    grep -E '^([a-z_:]+ --- FAILED|does not build)' | sed -e 's/ --- FAILED//' | sort -u | tr '\n' ' ' || true)
  # Written anew, so that it is newer than what was built from it.
  cat "$file" >"$DIR/$file"
  echo "$name: ${found:-NOT NOTICED}"
done <"$LIST"
