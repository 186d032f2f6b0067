#!/bin/sh
# Restarts the gateways in turn while one answer of the store is lost.
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the
# disruption out. Exits with 1 if the rule was broken, 0 if it held and 2 if the
# case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x review/bin/harness ] && [ -x target/awgateway ] && [ -x target/awloader ] || exit 2
exec review/bin/harness -case two-issuers -record "$here/record.txt"
