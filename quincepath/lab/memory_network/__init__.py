"""An in-memory network in place of the operating system beneath a loop (``net/system.py``).

What is sent is there at once, so a loop over it needs no real time; what is ready is told in the order in
which the sockets were made. Only what the project's edge uses is here: non-blocking IPv4 streams and
datagrams, and errors as Linux gives them.
"""

from quincepath.lab.memory_network.network import MemoryNetwork

__all__ = ["MemoryNetwork"]
