#!/usr/bin/env bash
# Checks the stand-ins of the cases 4 to 8. They are Python programs (standard library only; python3 is
# in tools/packages.txt), so that nothing is left behind but the check that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - stand-ins-2/*.py [4-8]/case.py <<'PY'
import sys
assert sys.version_info >= (3, 9), "python3 3.9 or later"
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
PY
