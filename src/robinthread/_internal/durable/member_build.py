"""What the builds of other members can read, as their incarnations tell.

A member's incarnation is opaque to older builds, which compare members as a whole.  A field of its
own would be lost when such a build writes a member on.
"""

from collections.abc import Collection
from typing import Final

from robinthread._internal.durable.ownership import Member

# Suffix of the incarnations of builds that read the progress of a job in parts.
READS_PARTS: Final = "-parts"


def make_incarnation(name: str) -> str:
    """Return the incarnation of a process of this build; ``name`` is unique to the process."""
    return name + READS_PARTS


def all_read_parts(members: Collection[Member]) -> bool:
    """Return whether all listed members read progress in parts; False if none are listed yet."""
    return bool(members) and all(member.incarnation.endswith(READS_PARTS) for member in members)
