"""An in-memory network that replaces the operating system below an event loop (``net/system.py``).

Sent data arrives at once, so a loop on this network needs no real time. Ready sockets are reported in the
order of their creation. Only what the project uses is implemented: non-blocking IPv4 streams and datagrams,
with the errors of Linux.
"""

from quincepath.lab.memory_network.network import MemoryNetwork

__all__ = ["MemoryNetwork"]
