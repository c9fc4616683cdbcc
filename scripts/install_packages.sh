#!/usr/bin/env bash
# Installs the Debian packages listed in packages.txt, the only place where dependencies are listed.
set -euo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
mapfile -t packages < "$folder/packages.txt"
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
