"""Derives the settings of the decision module from the configuration."""

from quincepath.config.schema.root import Config
from quincepath.interface import Effect, Limits, QueryClass, Rules, Settings


def module_kind(config: Config, index: int, two_steps: bool) -> int:
    """Position of a class in the module's settings: its own, or that of its variant without a second step."""
    if two_steps or not config.classes[index].recent:
        return index
    two_step = [position for position, entry in enumerate(config.classes) if entry.recent]
    return len(config.classes) + two_step.index(index)


def module_settings(config: Config) -> Settings:
    """Settings of the decision module. Each replica set is one cell; all remote read classes are retry-safe.

    A class with a second step is listed twice; its variant without one, for queries of a short time range, is
    at the end. The module reserves time for a second step and gives up a query when none is left for it. This
    must not apply to a query without a second step, and latencies of both kinds must not be mixed.
    """
    broker, limits, rules = config.broker, config.limits, config.rules
    variants = [(entry, bool(entry.recent)) for entry in config.classes]
    variants += [(entry, False) for entry in config.classes if entry.recent]
    return Settings(
        me=broker.number,
        instances=broker.brokers,
        zone=0,
        tick=broker.tick,
        cells=len(config.shards.sets()),
        reach=1,
        must_ask=False,
        cross_zone_charge=broker.cross_zone_charge,
        call_work=broker.call_work,
        classes=tuple(
            QueryClass(
                name=entry.name,
                target=entry.target,
                deadline=entry.deadline,
                effect=Effect.SAFE,
                window=0,
                late_worth=entry.late_worth,
                need=entry.need,
                floor=entry.need if entry.floor is None else entry.floor,
                second_step=int(two_steps),
            )
            for entry, two_steps in variants
        ),
        limits=Limits(
            attempts=limits.attempts,
            cancel=True,
            duplicate=limits.second_copies,
            retry_after=True,
            max_retry_after=limits.max_retry_after,
            connect_timeout=limits.connect_timeout,
            idle_close=limits.idle_close,
            batch=limits.batch,
        ),
        rules=Rules(
            cold_share=rules.cold_share,
            ramp_time=rules.ramp_time,
            fall_multiple=rules.fall_multiple,
            overload_for=rules.overload_for,
            must_ask_in=0,
            budget_window=rules.budget_window,
            budget_free=rules.budget_free,
            budget_ratio=rules.budget_ratio,
        ),
    )
