"""The remote read front: converts HTTP requests to asks and final answers to HTTP responses. Pure, stateless.

What a client gets (the headers are specific to this broker, all else belongs to the protocol):

    answered   200  Quincepath-Answer: whole|partial, Quincepath-Parts: in/asked
    refused    503  Retry-After (seconds, rounded up), Quincepath-Retry-After-Ms
    failed     504 if the time was up, otherwise 502
    bad        400, 404, 405, 413, 415: plain text that names the error
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
JOINED_HEADER = "Quincepath-Joined"  # retry, equal or replayed: this try had no run of its own
RUN_HEADER = "Quincepath-Run"  # id of the request whose run this try shared
MAX_NAME_CHARS = 128
MS = 1_000_000  # ns


@dataclass(slots=True, frozen=True)
class Reply:
    """Status, headers and body of a response, and the statistics of its merge."""

    status: int
    headers: dict[str, str]
    body: bytes
    verdict: Verdict | None = None
    stats: MergeStats | None = None


def text_reply(status: int, text: str, extra_headers: Mapping[str, str] | None = None) -> Reply:
    """A reply of one line of plain text."""
    headers = {"Content-Type": "text/plain; charset=utf-8", **(extra_headers or {})}
    return Reply(status, headers, text.encode() + b"\n")


class RemoteReadFront:
    """One for each configuration."""

    def __init__(self, config: Config, shard_map: ShardMap) -> None:
        self.config = config
        self.planner = Planner(config, shard_map)
        self._max_request_bytes = max(config.listen.max_body, 1 << 20) * 4  # decompressed

    def read(self, request: Request, handle: int, name: str) -> tuple[Ask, Plan] | Reply:
        """Return an ask for the driver with its plan, or the reply to a request that starts no ask."""
        if request.path != self.config.listen.path:
            return text_reply(404, f"not found; remote read is at {self.config.listen.path}")
        if request.method != "POST":
            return text_reply(405, "remote read takes POST", {"Allow": "POST"})
        encoding = request.headers.get("content-encoding", "")
        if encoding != "snappy":
            return text_reply(415, f"Content-Encoding {encoding!r}; expected snappy")
        media_type = request.headers.get("content-type", "").partition(";")[0].strip()
        if media_type != "application/x-protobuf":
            return text_reply(415, f"Content-Type {media_type!r}; expected application/x-protobuf")
        try:
            message = decode_request(request.body, self._max_request_bytes)
            accepted = message.accepted_response_types
            if accepted and ReadRequest.SAMPLES not in accepted:
                return text_reply(415, "only SAMPLES answers are served, and the request accepts none")
            plan = self.planner.plan(message)
            time_left = self.time_left(request, plan)
        except (CodecError, BadRequest) as error:
            return text_reply(400, str(error))
        if not plan.parts:
            empty, _ = merge(plan.queries, (), self.config.limits.max_merged)
            return Reply(200, self._headers(True, 0, 0), encode(empty), Verdict.ANSWERED)
        repeat = request.headers.get(self.config.repeat_header.lower(), "0").strip() not in ("", "0")
        return Ask(
            handle, plan.kind, time_left, plan.parts, repeat=repeat, follow=plan.follow, name=name
        ), plan

    def identify(self, request: Request, handle: int, address: str) -> Try:
        """Identify the ask that the request is a try of; its deadline is not known yet."""
        asks, headers = self.config.asks, request.headers
        scope = headers.get(asks.scope_header.lower(), "")
        client_key = None
        for strict, names in ((True, asks.key_headers), (False, asks.id_headers)):
            for name in names:
                key = headers.get(name.lower(), "").strip()
                if key and client_key is None:
                    client_key = ClientKey(scope, key[:MAX_NAME_CHARS], strict and len(key) <= MAX_NAME_CHARS)
        # The address is part of the digest only if nothing else identifies the client.
        owner = address if client_key is None and asks.unmarked_within else ""
        # The digest covers all that makes a request valid, so one of a wrong path or type is not a try of a
        # valid one.
        media_type, encoding = headers.get("content-type", ""), headers.get("content-encoding", "")
        head = f"{request.method} {request.path}\n{media_type}\n{encoding}\n"
        digest = hashlib.blake2b(
            head.encode() + request.body, digest_size=16, key=owner.encode()[:64]
        ).digest()
        return Try(
            handle,
            scope,
            digest,
            0,
            client_key,
            asks.share_equal and not owner,
            asks.unmarked_within,
            client=scope or address,
        )

    def time_left(self, request: Request, plan: Plan) -> int:
        """How long the client waits (ns), from its header or its class. Raises ``BadRequest``."""
        deadline = plan.entry.deadline
        timeout = request.headers.get(self.config.timeout_header.lower())
        if timeout is None:
            return deadline
        try:
            return min(parse_duration(timeout.strip()), deadline)
        except ValueError as error:
            raise BadRequest(f"header {self.config.timeout_header} is {timeout!r}: {error}") from None

    def write(self, finish: Finish, plan: Plan) -> Reply:
        """Convert a final answer to the response that the client gets."""
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
        """503 with retry advice; the standard header takes whole seconds, never 0: that means at once."""
        headers = {"Retry-After": str(max(-(-retry_in // 1_000_000_000), 1))}
        if retry_in:
            headers["Quincepath-Retry-After-Ms"] = str(-(-retry_in // MS))
        reply = text_reply(503, text, headers)
        return Reply(503, reply.headers, reply.body, Verdict.REFUSED)

    @staticmethod
    def _headers(whole: bool, parts_in: int, asked: int) -> dict[str, str]:
        completeness = "whole" if whole else "partial"
        return {**HEADERS, **VERSION_HEADER, ANSWER_HEADER: completeness, PARTS_HEADER: f"{parts_in}/{asked}"}


def query_name(request: Request, number: int) -> str:
    """The id that the client sent if it is usable, otherwise one made here: for logs, records and holders."""
    client_id = request.headers.get(QUERY_HEADER.lower(), "")
    usable = 0 < len(client_id) <= MAX_NAME_CHARS and client_id.isascii()
    usable = usable and all(c.isalnum() or c in "-_.:" for c in client_id)
    return client_id if usable else f"q{number}"
