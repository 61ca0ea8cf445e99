"""Whether a view is settled, and what keeps it from being so."""

from quincepath.fleet.view.facts import SECOND, Phase
from quincepath.fleet.view.failure_detector import FailureDetector
from quincepath.fleet.view.updates import OTHER_PROCESS_MEMORY_NS

SHOWN = 5  # names in one reason
SILENCE = 4  # periods without a word from anybody


def unsettled_reasons(view: FailureDetector) -> list[str]:
    """Why a view is not settled, for people; empty where it is."""
    now, reasons = view.now, []
    if view.own.phase is Phase.JOINING:
        reasons.append("joining: no exchange with another member yet")
    if view.own.yielded:
        reasons.append("another process has this member's name")
    suspects = sorted(view.table.suspects)
    if suspects:
        reasons.append(f"suspect: {_names(suspects)}")
    if now < view.table.changed_at + view.settings.settle and view.table.history:
        last = view.table.history[-1]
        reasons.append(f"{last.name} became {last.now} less than {view.settings.settle / 1e9:g} s ago")
    if view.table.live_peers() and now > view.last_heard_at + SILENCE * view.settings.period:
        reasons.append(f"nobody heard for {(now - view.last_heard_at) / 1e9:.1f} s")
    if now < view.last_stall_at + view.settings.settle:
        reasons.append("this member stood still or ran late")
    clones = sorted(name for name, at in view.clones.items() if now < at + OTHER_PROCESS_MEMORY_NS)
    if clones:
        reasons.append(f"two processes run as {_names(clones)}")
    differing = sorted(
        name for name, since in view.exchanges.differs.items() if now - since > SECOND and view._lives(name)
    )
    if differing:
        reasons.append(f"another view is held by {_names(differing)}")
    return reasons


def _names(names: list[str]) -> str:
    more = f" and {len(names) - SHOWN} more" if len(names) > SHOWN else ""
    return ", ".join(names[:SHOWN]) + more
