"""A fleet of real and hollow brokers on loopback sockets, measured: what the control plane costs by size.

A hollow broker is a broker's whole control plane (``quincepath.fleet.service.Fleet``: view, ledger, log; and
the configuration's subscriber) on a socket and a port of its own, without the data path. Hundreds share one
process. Because the program's own classes run, the messages and bytes of a hollow broker are those of a real
one, which a test holds them to.

    python -m benchmarks.capacity.scale --brokers 300 --real 3
    python -m benchmarks.capacity.scale --brokers 60 --faults benchmarks/capacity/scale/scripts/loss.yaml

A run prints progress on standard error and ends with one line of JSON (``result.Result``). Its verdict is
good, failed, void (the run's own machinery was late: its times say nothing) or simulated. The modules:

- ``command`` reads options, ``machine`` refuses what does not fit, ``pace`` leaves out what is too dear;
- ``plan`` says who is in the fleet, ``run`` plays the phases, ``calm`` and ``events`` are the phases;
- ``watch`` is what the parent sees, ``hosts`` and ``real`` its processes, ``messages`` what it tells hosts;
- ``host`` is a process of ``hollow`` brokers, with ``meter``, ``memory``, ``load``, ``links`` and
  ``configuration`` for one each;
- ``simulated`` plays in virtual time what was left out; ``result`` holds the figures.
"""
