"""What the planned fleet costs each role, extrapolated from measured slopes: ``docs/CAPACITY.md``.

``python -m benchmarks.capacity measure`` writes ``benchmarks/results/capacity.json``, ``write`` fills the
tables of the page from it, ``check`` works them out again and reports differences, ``scale`` runs a fleet.
"""
