"""A fleet of real and hollow brokers on loopback sockets, measured: what the control plane costs by size.

A hollow broker is a broker's whole control plane (``quincepath.fleet.service.Fleet``: view, ledger, log) on a
socket and a port of its own, without the data path. Hundreds share one process. Because the program's own
classes run, the messages and bytes of a hollow broker are those of a real one.

``python -m benchmarks.capacity.scale --brokers 60 --real 3`` plays one run and prints one line of JSON.
"""
