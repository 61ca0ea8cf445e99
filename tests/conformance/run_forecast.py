"""Runner of the forecast table: a sample, two maps, limits -> figures and the verdict.

``then`` has ``answer``; ``figures`` ("kind where": rounded to three digits), also each under its own name;
``over``: kind and where of the limits exceeded or crossed, worst first; ``why``: the reasons up to their
colon; ``reasons``: the same in full.
"""

from typing import Any

from quincepath.fleet.forecast import Environment, FigureKind, Limit, ReplaySettings, Rules, forecast, verdict
from quincepath.fleet.forecast.footprints import HOUR_NS
from tests.conformance.runner import runner
from tests.fleet.forecast.builders import sample, version


@runner("forecast")
def run(given: dict[str, Any]) -> dict[str, Any]:
    found_sample = sample(given["queries"], given.get("span", 60), given.get("hour", 12))
    before, after = version(1, given["before"]), version(2, given["after"])
    heard, of = given.get("brokers", [1, 1])
    environment = Environment(given.get("holders", {}), given.get("slots", 1), heard, of)
    widen = {FigureKind(kind): factor for kind, factor in given.get("widen", {}).items()}
    found = forecast(found_sample, before, after, environment, ReplaySettings(draws=100), widen)
    limits = tuple(Limit(FigureKind(kind), most, *where) for kind, most, *where in given["limits"])
    rules = Rules(limits, **given.get("rules", {}))
    now = found_sample.until + int(given.get("hours later", 0) * HOUR_NS)
    due = now + int(given["due in"] * HOUR_NS) if "due in" in given else None
    judged = verdict(found, rules, now, due)
    return {
        "answer": judged.answer.value,
        "figures": {f"{k} {where}".strip(): rounded(f.value) for (k, where), f in found.figures.items()},
        "over": [" ".join(over.key).strip() for over in judged.violations],
        "why": [reason.partition(":")[0] for reason in judged.why],
        "reasons": list(judged.why),
    } | {
        f"{k} {where}".strip(): rounded(figure.value) for (k, where), figure in found.figures.items()
    }  # fmt: skip


def rounded(value: float) -> float:
    return float(f"{value:.3g}")
