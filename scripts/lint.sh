#!/usr/bin/env bash
# Checks format and lint. Usage: scripts/lint.sh [build folder with compile_commands.json]
# Arguments after the folder limit the check to these sources.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true

mapfile -t formatted < <(git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h')
clang-format-14 --dry-run --Werror "${formatted[@]}"
scripts/check_layers.sh

mapfile -t sources < <(if [ $# -gt 0 ]; then printf '%s\n' "$@"; else git ls-files --cached --others --exclude-standard -- 'src/*.cpp' 'programs/*.cpp' 'platform/*.cpp' 'soak/*.cpp'; fi)
# Each result is kept under a hash of the source, the headers and the settings, so that only changed files are checked again.
cache=${ALMONDLEVER_LINT_CACHE:-${HOME}/.cache/almondlever-lint}
mkdir -p "$cache"
base=$(cat .clang-tidy $(git ls-files --cached --others --exclude-standard -- '*.h') | sha256sum | cut -d' ' -f1)
export cache base build
printf '%s\0' "${sources[@]}" | xargs -0 -P "$(nproc)" -I{} bash -c '
  key=$(printf "%s" "$base" | cat - "{}" | sha256sum | cut -d" " -f1)
  [ -e "$cache/$key" ] && exit 0
  if output=$(clang-tidy-14 --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" "{}" 2>/dev/null); then touch "$cache/$key"; else printf "%s\n" "$output"; exit 1; fi'
echo "lint: ${#formatted[@]} files formatted, ${#sources[@]} sources checked"
