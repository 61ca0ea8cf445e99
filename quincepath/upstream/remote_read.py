"""Remote read towards holders: one request per call, with the queries of all its parts in order. Pure."""

from collections.abc import Sequence

from quincepath.fronts.remote_read.codec import HEADERS, VERSION_HEADER, CodecError, decode_response, encode
from quincepath.fronts.remote_read.plan import PartBody, PartFetch
from quincepath.fronts.remote_read.remote_pb2 import ReadRequest
from quincepath.net.http1 import Response
from quincepath.orders import AttemptOrder

PARTS_HEADER = "X-Quincepath-Parts"  # query/shard/step/attempt of each part, for the holder's log
BROKER_HEADER = "X-Quincepath-Broker"  # number of the calling broker


class BadResponse(ValueError):
    """A 2xx response with an unusable body; the call may have run."""


class RemoteReadCodec:
    """Encodes calls and decodes their responses, of up to ``max_bytes`` decompressed."""

    def __init__(self, max_bytes: int, broker: int = 0) -> None:
        self.max_bytes, self.broker = max_bytes, str(broker)

    def encode(self, attempts: Sequence[AttemptOrder]) -> tuple[dict[str, str], bytes]:
        """Headers and body of one call."""
        request = ReadRequest()
        part_names = []
        for order in attempts:
            fetch: PartFetch = order.payload
            request.queries.extend(query for _, query in fetch.queries)
            part_names.append(f"{order.query_name or '-'}/{order.shard}/{order.step}/{order.attempt}")
        headers = {
            **HEADERS, **VERSION_HEADER, "Accept-Encoding": "snappy", PARTS_HEADER: ", ".join(part_names),
            BROKER_HEADER: self.broker,
        }  # fmt: skip
        return headers, encode(request)

    def decode(self, attempts: Sequence[AttemptOrder], response: Response) -> list[PartBody]:
        """The bodies of the parts, in the order of the attempts. Raises ``BadResponse``."""
        try:
            decoded = decode_response(response.body, self.max_bytes)
        except CodecError as error:
            raise BadResponse(str(error)) from None
        expected = sum(len(order.payload.queries) for order in attempts)
        if len(decoded.results) != expected:
            raise BadResponse(f"{len(decoded.results)} results for {expected} queries")
        bodies: list[PartBody] = []
        offset = 0
        for order in attempts:
            fetch: PartFetch = order.payload
            bodies.append(
                tuple(
                    (index, list(decoded.results[offset + i].timeseries))
                    for i, (index, _) in enumerate(fetch.queries)
                )
            )
            offset += len(fetch.queries)
        return bodies
