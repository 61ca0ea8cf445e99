"""The module's settings, drawn from the configuration."""

from quincepath.config.schema.root import Config
from quincepath.interface import Effect, Limits, QueryClass, Rules, Settings


def module_kind(config: Config, index: int, two_steps: bool) -> int:
    """The module's position of a class: itself, or its twin without a second step."""
    if two_steps or not config.classes[index].recent:
        return index
    twins = [at for at, entry in enumerate(config.classes) if entry.recent]
    return len(config.classes) + twins.index(index)


def module_settings(config: Config) -> Settings:
    """The module's settings. Each replica set is one cell; all classes of remote read are safe to repeat.

    A class with a second step stands twice, the twins without one at the end: for a query of a short time
    range. The module keeps back time for a second step and gives a query up when none is left for it; a
    query that has none must not be held to that, nor its latencies be mixed with those that have.
    """
    broker, limits, rules = config.broker, config.limits, config.rules
    both = [(entry, bool(entry.recent)) for entry in config.classes]
    both += [(entry, False) for entry in config.classes if entry.recent]
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
            for entry, two_steps in both
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
