"""The model of a holder, by the name it has in the emulator; see ``quincepath.standins.model``."""

from quincepath.standins.model import SECOND, Fleet, Job, Server, ServerConfig, ServerFaults, State

__all__ = ["SECOND", "Fleet", "Job", "ServerConfig", "Server", "State", "ServerFaults"]
