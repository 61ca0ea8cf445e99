"""Pages about a member's view for operators, as plain values for JSON. Callers pass the wall clock time."""

from typing import Any

from quincepath.fleet.view.core import View
from quincepath.fleet.view.facts import SECOND, Belief, Change, Phase


def _seconds(duration: int) -> float:
    return round(max(duration, 0) / SECOND, 1)


def _row(view: View, belief: Belief, now: int) -> dict[str, Any]:
    last_heard = view.table.last_heard.get(belief.name)
    return {
        "name": belief.name,
        "phase": belief.phase.name.lower(),
        "draining": belief.draining,
        "for_s": _seconds(now - belief.since),
        "told_by": belief.told_by,
        "told_s": _seconds(now - belief.told_at),
        "heard_s": None if last_heard is None else _seconds(now - last_heard),
        "accusers": list(belief.accusers),
        "incarnation": belief.incarnation,
        "boot": f"{belief.boot:016x}",
        "zone": belief.zone,
        "version": belief.version,
        "config": belief.config,
    }


def view_page(view: View, now: int, configured: int) -> dict[str, Any]:
    """Beliefs about all members, with their times and sources; whether the view is settled, or why not."""
    table, settings = view.table, view.settings
    rows = [_row(view, belief, now) for belief in sorted(table.all(), key=lambda one: one.name)]
    reported = {row["name"] for row in rows}
    unsettled = view.unsettled()
    return {
        "fleet": settings.fleet,
        "member": settings.name,
        "settled": not unsettled,
        "unsettled": unsettled,
        "live": table.live_count,
        "configured": configured,
        "digest": f"{table.digest:016x}",
        "own_trouble": view.prober.health.score,
        "members": rows,
        "never_heard": sorted(name for name in settings.peers if name not in reported),
        "dropped": dict(view.dropped),
    }


def change_row(change: Change, now: int, wall: float) -> dict[str, Any]:
    """One change of belief; ``wall`` (seconds since the epoch) is the same moment as ``now``."""
    return {
        "at": round(wall - (now - change.at) / SECOND, 3),
        "name": change.name,
        "was": change.was,
        "now": change.now,
        "incarnation": change.incarnation,
        "told_by": change.told_by,
        "cause": change.cause,
    }


def history_page(view: View, now: int, wall: float, name: str = "") -> list[dict[str, Any]]:
    """Changes of belief, oldest first; only those of ``name`` if it is given."""
    return [change_row(change, now, wall) for change in view.table.history if name in ("", change.name)]


def explain_page(view: View, name: str, now: int, wall: float) -> dict[str, Any] | None:
    """Why this member believes what it does about another; None if the name is not in the fleet."""
    settings, table = view.settings, view.table
    if name != settings.name and name not in table.peers:
        return None
    belief = table.get(name)
    page: dict[str, Any] = {"name": name, "by": settings.name, "history": history_page(view, now, wall, name)}
    if belief is None:
        known = table.beliefs.get(name)
        page["belief"] = None
        page["because"] = (
            "never heard of" if known is None else "dead or gone for so long that it is not told of"
        )
        page["next"] = "tried now and then, in turn with others that are not alive"
        return page
    page["belief"] = _row(view, belief, now)
    page["because"] = _because(view, belief)
    page["next"] = _next(view, belief, now)
    if name in view.clones:
        page["because"] += "; a second process runs under this name"
    return page


def _because(view: View, belief: Belief) -> str:
    if belief.name == view.settings.name:
        return "this member itself"
    if belief.phase in (Phase.SUSPECT, Phase.DEAD):
        return f"no answer to {', '.join(belief.accusers) or belief.told_by}"
    if belief.told_by == belief.name:
        return "its own word"
    return f"told by {belief.told_by}"


def _next(view: View, belief: Belief, now: int) -> str:
    match belief.phase:
        case Phase.SUSPECT:
            deadline = view.table.suspicion_deadline(belief)
            return f"dead in {_seconds(deadline - now)} s unless it refutes; sooner with further accusers"
        case Phase.DEAD | Phase.LEFT:
            deadline = belief.since + view.settings.reclaim
            return f"tried now and then; no longer told of in {_seconds(deadline - now)} s"
    return "probed in its turn"
