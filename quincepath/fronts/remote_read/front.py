"""The remote read front: HTTP requests to Asks, final answers to HTTP responses. Pure but for nothing kept.

What a client sees of an ending (headers are ours, the rest is the protocol's):

    answered   200  Quincepath-Answer: whole|partial, Quincepath-Parts: in/asked
    refused    503  Retry-After (seconds, rounded up), Quincepath-Retry-After-Ms
    failed     504 where time was up, else 502
    bad        400, 404, 405, 413, 415: plain text that names what is wrong
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from quincepath.asks.registry import ClientKey, Try
from quincepath.config.schema import Config
from quincepath.config.values import parse_duration
from quincepath.fronts.remote_read.codec import HEADERS, VERSION_HEADER, CodecError, decode_request, encode
from quincepath.fronts.remote_read.plan import BadRequest, Plan, Planner
from quincepath.fronts.remote_read.remote_pb2 import ReadRequest
from quincepath.merge.series import MergeError, MergeStats, merge
from quincepath.net.http1 import Request
from quincepath.orders import Ask, Finish, Verdict
from quincepath.shards.shardmap import ShardMap

ANSWER_HEADER = "Quincepath-Answer"
PARTS_HEADER = "Quincepath-Parts"
QUERY_HEADER = "X-Request-Id"
JOINED_HEADER = "Quincepath-Joined"  # retry, equal or replayed: this try did not run by itself
RUN_HEADER = "Quincepath-Run"  # the id of the request whose run it shared
MAX_NAME_CHARS = 128
MS = 1_000_000


@dataclass(slots=True, frozen=True)
class Reply:
    """Status, headers, body, and what merging met."""

    status: int
    headers: dict[str, str]
    body: bytes
    verdict: Verdict | None = None
    stats: MergeStats | None = None


def text_reply(status: int, text: str, more: Mapping[str, str] | None = None) -> Reply:
    """A plain text reply of one line."""
    headers = {"Content-Type": "text/plain; charset=utf-8", **(more or {})}
    return Reply(status, headers, text.encode() + b"\n")


class RemoteReadFront:
    """One a configuration."""

    def __init__(self, config: Config, shard_map: ShardMap) -> None:
        self.config = config
        self.planner = Planner(config, shard_map)
        self._most_request = max(config.listen.max_body, 1 << 20) * 4  # decompressed

    def read(self, request: Request, handle: int, name: str) -> tuple[Ask, Plan] | Reply:
        """An ask for the driver, or the reply to a request that cannot become one."""
        if request.path != self.config.listen.path:
            return text_reply(404, f"not found; remote read is at {self.config.listen.path}")
        if request.method != "POST":
            return text_reply(405, "remote read takes POST", {"Allow": "POST"})
        encoding = request.headers.get("content-encoding", "")
        if encoding != "snappy":
            return text_reply(415, f"Content-Encoding {encoding!r}; expected snappy")
        kind = request.headers.get("content-type", "").partition(";")[0].strip()
        if kind != "application/x-protobuf":
            return text_reply(415, f"Content-Type {kind!r}; expected application/x-protobuf")
        try:
            message = decode_request(request.body, self._most_request)
            accepted = message.accepted_response_types
            if accepted and ReadRequest.SAMPLES not in accepted:
                return text_reply(415, "only SAMPLES answers are served, and the request accepts none")
            plan = self.planner.plan(message)
            time_left = self.time_left(request, plan)
        except (CodecError, BadRequest) as error:
            return text_reply(400, str(error))
        if not plan.parts:
            nothing, _ = merge(plan.queries, (), self.config.limits.max_merged)
            return Reply(200, self._headers(True, 0, 0), encode(nothing), Verdict.ANSWERED)
        repeat = request.headers.get(self.config.repeat_header.lower(), "0").strip() not in ("", "0")
        return Ask(
            handle, plan.kind, time_left, plan.parts, repeat=repeat, follow=plan.follow, name=name
        ), plan

    def identify(self, request: Request, handle: int, address: str) -> Try:
        """What the request says of the ask that it is a try of; its deadline is not known yet."""
        asks, headers = self.config.asks, request.headers
        scope = headers.get(asks.scope_header.lower(), "")
        mark = None
        for vouched, names in ((True, asks.key_headers), (False, asks.id_headers)):
            for name in names:
                key = headers.get(name.lower(), "").strip()
                if key and mark is None:
                    mark = ClientKey(scope, key[:MAX_NAME_CHARS], vouched and len(key) <= MAX_NAME_CHARS)
        # An address is part of the digest only where it alone says whose tries they are.
        owner = address if mark is None and asks.unmarked_within else ""
        # With what makes a request valid: one to a wrong path or of a wrong type is no try of a sound one.
        kind, packed = headers.get("content-type", ""), headers.get("content-encoding", "")
        head = f"{request.method} {request.path}\n{kind}\n{packed}\n"
        digest = hashlib.blake2b(
            head.encode() + request.body, digest_size=16, key=owner.encode()[:64]
        ).digest()
        return Try(
            handle,
            scope,
            digest,
            0,
            mark,
            asks.share_equal and not owner,
            asks.unmarked_within,
            client=scope or address,
        )

    def time_left(self, request: Request, plan: Plan) -> int:
        """How long the client waits (ns), by header or class. Raises ``BadRequest``."""
        deadline = plan.entry.deadline
        asked = request.headers.get(self.config.timeout_header.lower())
        if asked is None:
            return deadline
        try:
            return min(parse_duration(asked.strip()), deadline)
        except ValueError as error:
            raise BadRequest(f"header {self.config.timeout_header} is {asked!r}: {error}") from None

    def write(self, finish: Finish, plan: Plan) -> Reply:
        """The final answer as the client gets it."""
        if finish.verdict is Verdict.ANSWERED:
            try:
                response, stats = merge(plan.queries, finish.bodies, self.config.limits.max_merged)
            except MergeError as error:
                return Reply(502, {"Content-Type": "text/plain"}, f"{error}\n".encode(), Verdict.FAILED)
            headers = self._headers(finish.whole, finish.parts_in, finish.parts_asked)
            return Reply(200, headers, encode(response), Verdict.ANSWERED, stats)
        if finish.verdict is Verdict.REFUSED:
            return self.refusal(f"refused: {finish.cause}; asking again is harmless", finish.retry_in)
        reply = text_reply(504 if finish.cause == "time is up" else 502, f"failed: {finish.cause}")
        return Reply(reply.status, reply.headers, reply.body, Verdict.FAILED)

    @staticmethod
    def refusal(text: str, retry_in: int) -> Reply:
        """503 with advice; whole seconds for the standard header, never 0: that means at once."""
        headers = {"Retry-After": str(max(-(-retry_in // 1_000_000_000), 1))}
        if retry_in:
            headers["Quincepath-Retry-After-Ms"] = str(-(-retry_in // MS))
        reply = text_reply(503, text, headers)
        return Reply(503, reply.headers, reply.body, Verdict.REFUSED)

    @staticmethod
    def _headers(whole: bool, parts_in: int, asked: int) -> dict[str, str]:
        mark = "whole" if whole else "partial"
        return {**HEADERS, **VERSION_HEADER, ANSWER_HEADER: mark, PARTS_HEADER: f"{parts_in}/{asked}"}


def query_name(request: Request, number: int) -> str:
    """The client's own id where it sent a usable one, else ours: for logs, records and holders."""
    given = request.headers.get(QUERY_HEADER.lower(), "")
    usable = 0 < len(given) <= MAX_NAME_CHARS and given.isascii()
    usable = usable and all(c.isalnum() or c in "-_.:" for c in given)
    return given if usable else f"q{number}"
