"""What the operating system tells of sockets."""

import socket
import struct

import pytest

from quincepath.net.system import System


@pytest.mark.parametrize("unread", [b"", b"x" * 1000], ids=["nothing unread", "bytes unread"])
@pytest.mark.parametrize(("way", "ended"), [("stays", False), ("ends", True), ("resets", True)])
def test_the_system_tells_that_a_peer_has_ended_although_bytes_are_unread(
    way: str, ended: bool, unread: bytes
) -> None:
    """A client's close behind what it had sent was seen only when all of that had been read."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
        with server:
            client.sendall(unread)
            if way == "resets":
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            if way != "stays":
                client.close()
            assert System().peer_ended(server) is ended
        client.close()
