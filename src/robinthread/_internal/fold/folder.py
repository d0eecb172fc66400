"""The folder, which applies log records to the fleet state."""

import hashlib
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure, Success

from robinthread._internal.fold.envelope import SCHEMA_VERSION, Envelope, decode_batch
from robinthread._internal.fold.position import Position
from robinthread._internal.fold.registry import KINDS
from robinthread._internal.fold.step import FoldResult
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.results import ResultCode
from robinthread._internal.utils.foreign_input import MalformedInputError, decode_msgpack

SEEN_IDS_MAX = 8192


@dataclass(frozen=True)
class FoldedRecord:
    """The outcome of a record, for its author and for watchers of the state."""

    offset: int
    id: str
    kind: str
    code: ResultCode
    body: object = None


@dataclass(frozen=True)
class FolderImage:
    """The complete content of a folder, as stored in snapshots and sent to peers.

    ``seen`` are the ids of recent records with the values of their result codes.
    """

    state: FleetState
    seen: tuple[tuple[str, int], ...]


class Folder:
    """Apply log records, in offset order, to the fleet state.

    The outcome depends only on the records, and not on a clock, random numbers or local
    settings, so that all daemons derive the same state.  The ids of the last
    ``SEEN_IDS_MAX`` records are stored with their outcomes, so that a record that was
    appended twice is applied once and the first outcome can be looked up.
    """

    def __init__(self, image: FolderImage | None = None) -> None:
        self.state = image.state if image else FleetState()
        self._seen: dict[str, int] = dict(image.seen) if image else {}

    def fold_record(self, offset: int, data: bytes) -> tuple[FoldedRecord, ...]:
        """Apply the log record at ``offset`` and return the outcome of each record in its batch.

        The result is empty if the log record has been applied already.
        """
        if offset < self.state.next_offset:
            return ()
        folded = tuple(self._iter_folded(offset, data))
        self.state = replace(self.state, next_offset=offset + 1)
        return folded

    def get_outcome(self, record_id: str) -> ResultCode | None:
        """Return the outcome of a recent record, or None if its id is not stored."""
        code = self._seen.get(record_id)
        return None if code is None else ResultCode(code)

    def make_image(self) -> FolderImage:
        """Return the complete content, for a snapshot or a peer."""
        return FolderImage(self.state, tuple(self._seen.items()))

    def _iter_folded(self, offset: int, data: bytes) -> Iterator[FoldedRecord]:
        try:
            batch = decode_batch(data)
        except MalformedInputError:
            yield FoldedRecord(offset, "", "", ResultCode.UNKNOWN_KIND)
            return
        for envelope in batch:
            yield self._fold_envelope(offset, envelope)

    def _fold_envelope(self, offset: int, envelope: Envelope) -> FoldedRecord:
        if envelope.id in self._seen:
            return FoldedRecord(offset, envelope.id, envelope.kind, ResultCode.REPEATED)
        body, result = _apply(self.state, offset, envelope)
        if isinstance(result, Success):
            self.state = result.unwrap()
            code = ResultCode.OK
        else:
            code = result.failure()
        self._record_outcome(envelope.id, code)
        return FoldedRecord(offset, envelope.id, envelope.kind, code, body)

    def _record_outcome(self, record_id: str, code: ResultCode) -> None:
        self._seen[record_id] = code.value
        excess_count = len(self._seen) - SEEN_IDS_MAX
        for oldest_id in tuple(itertools.islice(self._seen, max(0, excess_count))):
            del self._seen[oldest_id]


def _apply(state: FleetState, offset: int, envelope: Envelope) -> tuple[object, FoldResult]:
    kind = KINDS.get(envelope.kind)
    if kind is None or envelope.version > SCHEMA_VERSION:
        return None, Failure(ResultCode.UNKNOWN_KIND)
    try:
        body: object = decode_msgpack(envelope.body, kind.body_type)
    except MalformedInputError:
        return None, Failure(ResultCode.UNKNOWN_KIND)
    position = Position(offset, envelope.author, envelope.incarnation)
    return body, kind.fold(state, body, position)


def make_digest(image: FolderImage) -> str:
    """Return a digest of the folder's content; equal contents have equal digests."""
    encoded = msgspec.msgpack.encode(image, order="deterministic")
    return hashlib.sha256(encoded).hexdigest()[:16]
