"""A caller's request."""

from dataclasses import dataclass

from robinthread._internal.claims.claim import make_identity_digest, make_key
from robinthread._internal.models.urgency import Urgency


@dataclass(frozen=True)
class CallerRequest:
    """A request as received from a caller; ``deadline_at_s`` is a Unix time in seconds.

    ``try_number`` counts the caller's own tries of this request, starting at 1.
    """

    caller: str
    request_id: str
    pool: str
    team: str
    urgency: Urgency
    deadline_at_s: float
    is_repeatable: bool
    body: bytes
    try_number: int = 1

    def make_key(self) -> bytes:
        """Return the key that identifies the request in the whole fleet."""
        return make_key(self.caller, self.request_id)

    def make_digest(self) -> bytes:
        """Return a digest of the values that must be equal in all tries of the request."""
        return make_identity_digest(self.pool, self.deadline_at_s, self.body)
