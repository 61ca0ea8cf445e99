"""The syntax of member names in a fleet."""

from typing import Annotated

from pydantic import Field

MemberName = Annotated[str, Field(min_length=1, max_length=32, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
