"""Listeners of a broker and limits of one connection."""

from pydantic import Field

from quincepath.config.schema.base import SECOND, Count, Model, Name, Port
from quincepath.config.values import Duration, Size


class Listen(Model):
    """The listener of the remote read front and the limits of one client connection."""

    host: Name = "127.0.0.1"
    port: Port = 0
    path: str = Field("/api/v1/read", pattern="^/")
    max_connections: Count = 2000
    max_connections_per_address: int = Field(0, ge=0)  # 0: no limit per address
    max_headers: Size = 32 * 1024
    max_body: Size = 4 << 20
    idle_timeout: Duration = 60 * SECOND
    request_timeout: Duration = 10 * SECOND  # from the first byte of a request to its last
    write_timeout: Duration = 30 * SECOND  # without the client reading a byte


class MetricsListen(Model):
    """The listener of the metrics page."""

    host: Name = "127.0.0.1"
    port: Port = 0
