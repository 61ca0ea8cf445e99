"""What is spoken to holders: remote read, one request a call, the queries of all its parts in a row. Pure."""

from collections.abc import Sequence

from quincepath.fronts.remote_read.codec import HEADERS, VERSION_HEADER, CodecError, decode_response, encode
from quincepath.fronts.remote_read.plan import PartBody, PartFetch
from quincepath.fronts.remote_read.remote_pb2 import ReadRequest
from quincepath.net.http1 import Response
from quincepath.orders import AttemptOrder

PARTS_HEADER = "X-Quincepath-Parts"  # name/shard/step/attempt of each part, for the holder's log
BROKER_HEADER = "X-Quincepath-Broker"  # the number of the broker that calls


class BadResponse(ValueError):
    """A 2xx answer that is not one: it may have run, and cannot be used."""


class RemoteReadCodec:
    """Encodes calls and decodes their answers; ``most`` bytes of an answer, decompressed."""

    def __init__(self, most: int, broker: int = 0) -> None:
        self.most, self.broker = most, str(broker)

    def encode(self, attempts: Sequence[AttemptOrder]) -> tuple[dict[str, str], bytes]:
        """Headers and body of one call."""
        request = ReadRequest()
        names = []
        for order in attempts:
            fetch: PartFetch = order.payload
            request.queries.extend(query for _, query in fetch.queries)
            names.append(f"{order.query_name or '-'}/{order.shard}/{order.step}/{order.attempt}")
        headers = {
            **HEADERS, **VERSION_HEADER, "Accept-Encoding": "snappy", PARTS_HEADER: ", ".join(names),
            BROKER_HEADER: self.broker,
        }  # fmt: skip
        return headers, encode(request)

    def decode(self, attempts: Sequence[AttemptOrder], response: Response) -> list[PartBody]:
        """The parts' bodies, in the order of the attempts. Raises ``BadResponse``."""
        try:
            answer = decode_response(response.body, self.most)
        except CodecError as error:
            raise BadResponse(str(error)) from None
        wanted = sum(len(order.payload.queries) for order in attempts)
        if len(answer.results) != wanted:
            raise BadResponse(f"{len(answer.results)} results for {wanted} queries")
        bodies: list[PartBody] = []
        at = 0
        for order in attempts:
            fetch: PartFetch = order.payload
            bodies.append(
                tuple(
                    (index, list(answer.results[at + i].timeseries))
                    for i, (index, _) in enumerate(fetch.queries)
                )
            )
            at += len(fetch.queries)
        return bodies
