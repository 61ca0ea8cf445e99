"""The program as a child that does not outlive its parent: ``python -m benchmarks.capacity.scale.guarded``.

A run ends its brokers itself; this is for the case that the run's own process is killed.
"""

import ctypes
import os
import runpy
import signal
import sys

PR_SET_PDEATHSIG = 1  # from linux/prctl.h


def main() -> None:
    """Have the system send SIGKILL when the parent ends, then run the program with the given words."""
    parent = os.getppid()
    if ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL) != 0:
        raise OSError(ctypes.get_errno(), "prctl(PR_SET_PDEATHSIG)")
    if os.getppid() != parent:  # it ended before the system was asked
        sys.exit(1)
    sys.argv = ["quincepath", *sys.argv[1:]]
    runpy.run_module("quincepath", run_name="__main__")


if __name__ == "__main__":
    main()
