"""What a run may take of the machine: read from it, never changed, and refused beyond."""

import math
import os
import resource
from dataclasses import dataclass

import psutil

from benchmarks.capacity.scale.plan import Mechanism, Plan

MEMORY_SHARE = 0.5  # of the machine's memory
PROCESSES_MOST = 200
RESERVED_CORES = 2  # left to the parent and to whatever else runs
BROKERS_A_PROCESS = 25  # from which a further process is worth its memory
PARENT_PROCESSES = 1

# Estimates for the refusal before a run, on the safe side.
HOST_BYTES = 100 << 20
REAL_BYTES = 120 << 20
HOLDER_BYTES = 100 << 20
BROKER_BYTES = 512 << 10
BELIEF_BYTES = 1200  # of one member in the view of another
BROKER_DESCRIPTORS = 8  # sockets, and connections of the log and of exchanges that stand at once
PROCESS_DESCRIPTORS = 64
PAIR_DESCRIPTORS = 3  # of the relay, for one real broker and one other member
HOLDERS = 3  # stand-in nodes that serve the real brokers' queries


class RefusedError(ValueError):
    """A run that the machine is not to carry: the text says what was read, what is allowed and wanted."""


@dataclass(frozen=True)
class Machine:
    """Figures of the machine. ``descriptors``: open files allowed to one process (the soft limit)."""

    memory: int  # bytes
    descriptors: int
    cores: int

    @property
    def memory_allowed(self) -> int:
        """Bytes that all processes of a run may take together."""
        return int(self.memory * MEMORY_SHARE)

    @staticmethod
    def read() -> "Machine":
        """This machine."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return Machine(psutil.virtual_memory().total, descriptors, os.cpu_count() or 1)


def host_processes(brokers: int, machine: Machine) -> int:
    """How many processes carry so many hollow brokers where nothing else is asked for."""
    most = max(machine.cores - RESERVED_CORES, 1)
    return max(min(math.ceil(brokers / BROKERS_A_PROCESS), most), 1)


def memory_wanted(plan: Plan) -> int:
    """Bytes that a run takes, by estimate."""
    hollow = plan.brokers - plan.real
    each = BROKER_BYTES + BELIEF_BYTES * plan.brokers
    holders = HOLDERS if plan.real else 0
    return plan.processes * HOST_BYTES + hollow * each + plan.real * REAL_BYTES + holders * HOLDER_BYTES


def descriptors_wanted(plan: Plan) -> int:
    """Open files of the process that has most of them, by estimate."""
    brokers = math.ceil((plan.brokers - plan.real) / max(plan.processes, 1))
    followers = 2 * plan.brokers if Mechanism.LOG in plan.mechanisms else 0
    host = PROCESS_DESCRIPTORS + brokers * BROKER_DESCRIPTORS + followers
    relay = PROCESS_DESCRIPTORS + (PAIR_DESCRIPTORS * plan.real * plan.brokers if plan.relayed else 0)
    return max(host, relay)


def check(plan: Plan, machine: Machine) -> None:
    """Raises ``RefusedError`` where the run does not fit."""
    processes = PARENT_PROCESSES + plan.processes + plan.real + (HOLDERS if plan.real else 0)
    if processes > PROCESSES_MOST:
        raise RefusedError(f"{processes} processes wanted: expected at most {PROCESSES_MOST}")
    memory = memory_wanted(plan)
    if memory > machine.memory_allowed:
        raise RefusedError(
            f"{memory >> 20} MiB of memory wanted for {plan.brokers} brokers: the machine has "
            f"{machine.memory >> 20} MiB, of which a run may take {machine.memory_allowed >> 20} MiB"
        )
    descriptors = descriptors_wanted(plan)
    if descriptors > machine.descriptors:
        raise RefusedError(
            f"{descriptors} open files wanted in one process: the limit of the system is "
            f"{machine.descriptors}; expected fewer brokers or more processes"
        )
