"""Types shared by all sections, and the base model, which rejects unknown keys."""

import ipaddress
from typing import Annotated
from urllib.parse import urlsplit

import re2
from pydantic import AfterValidator, BaseModel, ConfigDict, Field

MS = 1_000_000  # ns
SECOND = 1000 * MS
Name = Annotated[str, Field(min_length=1, max_length=200)]
Port = Annotated[int, Field(ge=0, le=65535, strict=True)]
Count = Annotated[int, Field(ge=1, strict=True)]


def _check_pattern(value: str) -> str:
    options = re2.Options()
    options.log_errors = False
    try:
        re2.compile(value, options)
    except re2.error as error:
        raise ValueError(f"expected an RE2 expression: {error}") from None
    return value


def _check_holder_url(value: str) -> str:
    parts = urlsplit(value)
    try:
        port = parts.port
    except ValueError:
        port = None
    if parts.scheme != "http" or not parts.hostname or not port:
        raise ValueError("expected http://ADDRESS:PORT/PATH")
    try:
        ipaddress.IPv4Address(parts.hostname)
    except ValueError:
        raise ValueError("expected an IPv4 address in the URL: names are not resolved here") from None
    return value


Pattern = Annotated[str, AfterValidator(_check_pattern)]
HolderUrl = Annotated[str, AfterValidator(_check_holder_url)]


class Model(BaseModel):
    """Unknown keys are rejected: a misspelt setting must not silently keep its default."""

    model_config = ConfigDict(extra="forbid", frozen=True)
