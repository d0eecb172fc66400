"""What a node answers to other nodes."""

import asyncio

import msgspec

from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.fleet.pool_report import FleetQuestion
from robinthread._internal.node.handover import Handover
from robinthread._internal.node.owned_pools import OwnedPools
from robinthread._internal.node.peer_messages import (
    JobQuestion,
    PendingQuestion,
    RelayAnswer,
    RelayQuestion,
    StoppedQuestion,
    StoreQuestion,
    TakeQuestion,
)
from robinthread._internal.node.record_writer import RecordWriter


class PeerAnswers:
    """Answers each kind of question with the part that knows."""

    def __init__(self, owned: OwnedPools, records: RecordWriter, handover: Handover) -> None:
        self._owned = owned
        self._records = records
        self._handover = handover

    async def answer(self, question: msgspec.Struct) -> msgspec.Struct:
        """Answer one question; raise ``TypeError`` for one of no known kind."""
        match question:
            case JobQuestion():
                return await self._owned.handle_job(question)
            case PendingQuestion():
                return self._owned.handle_pending(question)
            case FleetQuestion():
                return self._owned.handle_fleet_report(question)
            case StoreQuestion():
                return self._handover.handle_store_status()
            case TakeQuestion():
                return await self._handover.handle_takeover(question)
            case StoppedQuestion():
                return self._owned.handle_stopped(question)
            case RelayQuestion():
                return await self._relay(question)
        raise TypeError(f"unknown question: {type(question).__name__}")

    async def _relay(self, question: RelayQuestion) -> RelayAnswer:
        deadline_s = asyncio.get_running_loop().time() + question.left_s
        record = KeyedRecord(question.key, question.value)
        return RelayAnswer((await self._records.write_relayed(record, deadline_s)).value)
