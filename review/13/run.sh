#!/usr/bin/env bash
# Entries overfill runners that have shrunk while all state VMs are without power.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standins-3 ] && [ -x target/bronzedrift-node ] || exit 2
exec target/review-3/standins-3 -case shrunk -record review/13/record.txt
