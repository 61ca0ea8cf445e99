"""Configuration distribution in virtual time: voters, relays, subscribers, a faulty network, measures."""

from quincepath.lab.fleet.configuration_world.measures import Measures, Traffic
from quincepath.lab.fleet.configuration_world.network import MS, SECOND, Network, VirtualNetwork
from quincepath.lab.fleet.configuration_world.scenery import Scenery, initial_change, next_change
from quincepath.lab.fleet.configuration_world.voters import Voters
from quincepath.lab.fleet.configuration_world.world import ConfigurationWorld

__all__ = [
    "MS",
    "SECOND",
    "ConfigurationWorld",
    "Measures",
    "Network",
    "Scenery",
    "Traffic",
    "VirtualNetwork",
    "Voters",
    "initial_change",
    "next_change",
]
