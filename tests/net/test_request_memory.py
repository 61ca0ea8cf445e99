"""What a reader of requests holds in memory."""

from quincepath.net.http1 import Limits, RequestReader

BODY_LIMIT = 64 * 1024


def request(body_size: int) -> bytes:
    return b"POST /all HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % body_size + b"x" * body_size


def test_a_reader_keeps_nothing_of_a_request_that_was_taken() -> None:
    """Each connection between two requests kept the body of its last one."""
    reader = RequestReader(Limits(body=BODY_LIMIT))
    reader.feed(request(BODY_LIMIT))
    assert reader.held_bytes == BODY_LIMIT
    assert len(reader.done.popleft().body) == BODY_LIMIT
    assert reader.held_bytes == 0


def test_small_requests_sent_ahead_are_all_queued_up_to_their_number() -> None:
    reader = RequestReader(Limits(body=BODY_LIMIT))
    reader.feed(request(300) * 16)
    assert len(reader.done) == 16 and not reader.dropped
