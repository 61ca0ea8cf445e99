"""The fleet's budget of further sends (retries and hedges), shared out by each broker's first sends."""

from quincepath.fleet.load_reports.types import SECOND, SendKind, Totals
from quincepath.fleet.overload.types import LocalStats, OverloadSettings

HANDED_OUT_SHARE = 0.9  # share of the ratio that is handed out: each broker may have one send saved up


def extra_send_rate(
    local: LocalStats, totals: Totals | None, confidence: float, settings: OverloadSettings
) -> float:
    """Further sends a second of this broker.

    Its share of the ratio follows its own first sends, counted now, and so does its share of the free ones:
    the sum over the brokers is the budget, however the load is distributed. Where the totals show that the
    fleet sends more than that, all brokers are reduced by the same factor. Without totals (confidence 0): the
    ratio, and an even share of the free ones. Never more than the broker may send alone.
    """
    own = local.first * SECOND / local.window
    if local.first_rate >= 0:  # after a drop of the load the budget follows the present sends
        own = min(own, local.first_rate)
    share = 1 / max(settings.brokers, 1)
    reduction = 1.0
    if totals is not None and confidence > 0:
        fleet = totals.sends[SendKind.FIRST] * SECOND / totals.window
        spent = totals.sends[SendKind.FURTHER] * SECOND / totals.window
        budget = settings.budget_ratio * fleet + settings.budget_free
        known_share = min(own / fleet * totals.coverage, 1.0) if fleet > 0 else share
        share += confidence * (known_share - share)
        reduction = 1 - confidence * (1 - min(budget / spent, 1.0)) if spent > 0 else 1.0
    rate = HANDED_OUT_SHARE * settings.budget_ratio * own + settings.budget_free * share
    return min(rate * reduction, settings.alone_extras * own + settings.budget_free)
