"""Re-exports the model of a holder from ``quincepath.standins.model``."""

from quincepath.standins.model import SECOND, Fleet, Job, Server, ServerConfig, ServerFaults, State

__all__ = ["SECOND", "Fleet", "Job", "ServerConfig", "Server", "State", "ServerFaults"]
