#!/bin/bash
# Installs the Debian packages that the build, the tests and the checks of .ci/run need. Without missing
# packages it does nothing and contacts no package registry.
#
# The packages of the deploy build are listed in deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."

deploy_packages=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/balancer.toml | tr -d '",')
test_packages="libgtest-dev librapidcheck-dev libnghttp2-dev spin"
fuzz_packages="clang libclang-rt-14-dev"
lint_packages="clang-format clang-tidy git"

missing=()
for package in $deploy_packages $test_packages $fuzz_packages $lint_packages; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  echo "installing: ${missing[*]}"
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
fi
