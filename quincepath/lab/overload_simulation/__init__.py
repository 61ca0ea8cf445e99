"""A coarse, fast simulation in virtual time of hundreds of brokers and holders under overload."""

from quincepath.lab.overload_simulation.plan import Load, Outage, Plan, Reporting, RetryPolicy, Strategy
from quincepath.lab.overload_simulation.simulation import Simulation

__all__ = ["Load", "Outage", "Plan", "Reporting", "RetryPolicy", "Simulation", "Strategy"]
