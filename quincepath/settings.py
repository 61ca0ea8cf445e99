"""Reads the startup text (one ``path=value`` a line) into ``Settings``; knows names and types, no values."""

from collections.abc import Callable
from typing import Any, TypeVar

from quincepath.interface import Effect, Limits, QueryClass, Rules, Settings

T = TypeVar("T")


class SettingsError(ValueError):
    """A setting is missing or unreadable; the text names it."""


def _flag(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError(text)
    return text == "true"


def _names(text: str) -> tuple[str, ...]:
    return tuple(text.split(",")) if text else ()


def _numbers(text: str) -> tuple[float, ...]:
    return tuple(float(item) for item in _names(text))


def _expected(read: Callable[[str], Any]) -> str:
    """What a reader takes, in words."""
    if read is Effect:
        return " or ".join(effect.value for effect in Effect)
    words = {
        int: "a whole number",
        float: "a number",
        _flag: "true or false",
        _numbers: "numbers with commas",
    }
    return words.get(read, "another value")


class Reader:
    """Looks values up by path, so that an error can name the path."""

    def __init__(self, text: str) -> None:
        self.values = dict(line.partition("=")[::2] for line in text.splitlines() if "=" in line)

    def get(self, path: str, read: Callable[[str], T], default: T | None = None) -> T:
        """One setting; raises ``SettingsError`` where it is missing without a default, or cannot be read."""
        text = self.values.get(path)
        if text is None:
            if default is None:
                raise SettingsError(f"setting {path} is missing")
            return default
        try:
            return read(text)
        except (ValueError, OverflowError):
            raise SettingsError(
                f"setting {path} is unreadable: {text!r}, {_expected(read)} was expected"
            ) from None

    def item(self, path: str, index: int, default: float | None = None) -> float:
        """One number of a list of numbers."""
        fallback: tuple[float, ...] | None = None if default is None else ()
        values = self.get(path, _numbers, fallback)
        if index < len(values):
            return values[index]
        if default is None:
            raise SettingsError(f"setting {path} has no item {index}")
        return default


def _query_class(r: Reader, i: int) -> QueryClass:
    at = f"classes.{i}."
    effect = r.get(at + "effect", Effect)
    need = r.item("specifics.needByClass", i)
    return QueryClass(
        name=r.get(at + "name", str, str(i)),
        target=r.get(at + "target", int),
        deadline=r.get(at + "deadline", int),
        effect=effect,
        window=r.get(at + "window", int, None if effect is Effect.KEYED else 0),
        late_worth=r.get(at + "lateWorth", float, 0.0),
        need=need,
        floor=r.item("specifics.classFloor", i, need),
        second_step=int(r.item("specifics.secondStep", i, 0.0)),
    )


def read_settings(text: str) -> Settings:
    """Build ``Settings``; unknown paths are ignored, a missing required one raises ``SettingsError``."""
    r = Reader(text)
    budget_window = r.get("rules.countedOver", int, 0)
    return Settings(
        me=r.get("me", int, 0),
        instances=r.get("instances", int),
        zone=r.get("az", int, 0),
        tick=r.get("tick", int),
        cells=r.get("specifics.places", int),
        reach=r.get("specifics.inARow", int),
        must_ask=r.get("discovery", str, "push") == "ask",
        cross_zone_charge=r.get("charges.crossZone", float, 0.0),
        call_work=r.get("specifics.perCallWork", int, 0),
        classes=tuple(_query_class(r, i) for i in range(r.get("classes.count", int))),
        limits=Limits(
            attempts=r.get("limits.tryLimit", int),
            cancel=r.get("limits.mayCancel", _flag, False),
            duplicate=r.get("limits.mayDuplicate", _flag, False),
            retry_after=r.get("limits.retryAfter", _flag, False),
            max_retry_after=r.get("limits.maxRetryAfter", int, 0),
            connect_timeout=r.get("limits.dialTimeout", int, 0),
            idle_close=r.get("limits.idleClose", int, 0),
            batch=r.get("specifics.batch", int, 1),
        ),
        rules=Rules(
            cold_share=r.get("rules.coldShare", float),
            ramp_time=r.get("rules.rampTime", int),
            fall_multiple=r.get("rules.fallMultiple", float),
            overload_for=r.get("rules.overloadFor", int),
            must_ask_in=r.get("rules.mustAskIn", int, 0),
            budget_window=budget_window,
            budget_free=r.get("rules.freeResends", float, 0.0),
            budget_ratio=r.get("rules.repeatRatio", float, 0.0),
        ),
    )
