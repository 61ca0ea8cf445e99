"""The verdict: what the brokers say at the end, their logs, and the audit of the records."""

import http.client
import json
from collections import Counter
from typing import Any
from urllib.parse import urlsplit

import msgspec

from quincepath.lab.audit import Report
from quincepath.lab.fleet.run.processes import Processes
from quincepath.lab.fleet.verdict import SECOND

LATE = 2 * SECOND  # behind its schedule by more, a run says nothing
LIVING = ("joining", "alive", "suspect")


class Judging(Processes):
    """What is believed, held against the processes that run."""

    def _views(self) -> dict[str, Any]:
        found: dict[str, Any] = {}
        for seat in self.seats.values():
            if seat.up and seat.name == seat.member:
                parts = urlsplit(seat.metrics)
                line = http.client.HTTPConnection(parts.hostname or "", parts.port, timeout=5)
                try:
                    line.request("GET", "/fleet/view")
                    found[seat.member] = json.loads(line.getresponse().read())
                except (OSError, ValueError, http.client.HTTPException) as error:
                    found[seat.member] = {"error": str(error), "members": []}
                finally:
                    line.close()
        return found

    def _told_dead(self) -> Counter[str]:
        """How often a broker's log says that another one is dead, by the other."""
        told: Counter[str] = Counter()
        for seat in self.seats.values():
            if seat.name != seat.member or seat.log is None or not seat.log.exists():
                continue
            for raw in seat.log.read_bytes().splitlines():
                try:
                    line = msgspec.json.decode(raw)
                except msgspec.MsgspecError:
                    continue
                if line.get("event") == "fleet: belief changed" and line["now"] == "dead":
                    told[line["node"]] += 1
        return told

    @staticmethod
    def _untrue(views: dict[str, Any]) -> list[str]:
        """What brokers believe that is not so."""
        found, truth = [], set(views)
        for name, page in sorted(views.items()):
            living = {row["name"] for row in page["members"] if row["phase"] in LIVING}
            if living != truth:
                lacks, extra = sorted(truth - living), sorted(living - truth)
                found.append(f"{name} lacks {lacks}, has {extra} too many: {page.get('error', '')}")
            suspects = [row["name"] for row in page["members"] if row["phase"] == "suspect"]
            if suspects:
                found.append(f"{name} suspects {suspects} at the end")
        return found

    def _figures(self, report: Report, views: dict[str, Any], length: int) -> dict[str, Any]:
        verdict, truth = self.verdict, set(views)
        findings = [str(finding) for finding in report.findings]
        findings += self._untrue(views)
        if len({page.get("digest") for page in views.values()}) > 1:
            findings.append("views have different digests at the end")
        settled = self.agreed_since
        verdict.settled = settled
        if settled < 0:
            findings.append("the relay never saw equal digests that stayed")
        elif verdict.settle_time > self.script.expect.settle:
            findings.append(f"settled only {verdict.settle_time / SECOND:.1f} s after the last fault")
        told = self._told_dead()
        if self.script.expect.deaths == "none":
            for name in sorted(set(told) - set(self.watcher.disturbed)):
                findings.append(f"{name} was believed dead by {told[name]}, and ran undisturbed")
        unended = self.asked - sum(self.answers.values())
        return {
            "settle_s": None if settled < 0 else round(verdict.settle_time / SECOND, 2),
            "lasted_s": round(length / SECOND, 1),
            "live": sorted(truth),
            "answers": dict(sorted(self.answers.items())),
            "messages_a_second": round(verdict.messages / max(verdict.member_seconds, 1e-9), 2),
            "bytes_a_second": round(verdict.bytes / max(verdict.member_seconds, 1e-9), 1),
            "late_most_s": round(self.late_most / SECOND, 3),
            "void": self.late_most > LATE or unended != 0,
            "findings": findings,
        }
