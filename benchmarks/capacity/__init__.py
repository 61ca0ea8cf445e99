"""What the planned fleet costs each role, extrapolated from measured slopes."""
