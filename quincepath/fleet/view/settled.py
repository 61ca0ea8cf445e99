"""Whether a view is settled, and the reasons why it is not."""

from quincepath.fleet.view.facts import SECOND, Phase
from quincepath.fleet.view.failure_detector import FailureDetector
from quincepath.fleet.view.updates import OTHER_PROCESS_MEMORY_NS

MAX_NAMES = 5  # names in one reason
SILENT_PERIODS = 4  # periods without a message from any member


def unsettled_reasons(view: FailureDetector) -> list[str]:
    """Why a view is not settled, for operators; empty if it is."""
    now, reasons = view.now, []
    if view.own.phase is Phase.JOINING:
        reasons.append("joining: no exchange with another member yet")
    if view.own.yielded:
        reasons.append("another process has this member's name")
    suspects = sorted(view.table.suspects)
    if suspects:
        reasons.append(f"suspect: {_shorten(suspects)}")
    if now < view.table.changed_at + view.settings.settle and view.table.history:
        last = view.table.history[-1]
        reasons.append(f"{last.name} became {last.now} less than {view.settings.settle / 1e9:g} s ago")
    if view.table.live_peers() and now > view.last_heard_at + SILENT_PERIODS * view.settings.period:
        reasons.append(f"nobody heard for {(now - view.last_heard_at) / 1e9:.1f} s")
    if now < view.last_stall_at + view.settings.settle:
        reasons.append("this member stood still or ran late")
    clones = sorted(name for name, at in view.clones.items() if now < at + OTHER_PROCESS_MEMORY_NS)
    if clones:
        reasons.append(f"two processes run as {_shorten(clones)}")
    differing = sorted(
        name
        for name, since in view.exchanges.differs_since.items()
        if now - since > SECOND and view._is_live(name)
    )
    if differing:
        reasons.append(f"another view is held by {_shorten(differing)}")
    return reasons


def _shorten(names: list[str]) -> str:
    more = f" and {len(names) - MAX_NAMES} more" if len(names) > MAX_NAMES else ""
    return ", ".join(names[:MAX_NAMES]) + more
