"""``python -m benchmarks.capacity.scale``."""

import sys

from benchmarks.capacity.scale.command import main

sys.exit(main(sys.argv[1:]))
