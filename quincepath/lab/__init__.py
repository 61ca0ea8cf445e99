"""The laboratory: rehearsals on one machine, load generators, simulations, records and their audit."""
