"""Stand-in of the platform's machines (PROTOCOL.md, "Machines"): lists them, moves none."""

from typing import Any

from review.standins.http_service import Answer, HttpService, Request, make_json_answer
from review.standins.worker import Worker


class Cloud:
    """Lists the machines of the workers; answers orders as a platform that is busy."""

    def __init__(self) -> None:
        self.http = HttpService(self._handle)
        self.workers: list[Worker] = []

    async def _handle(self, request: Request) -> Answer:
        if request.path != "/machines":
            return make_json_answer(409, {"reason": "busy"})
        rows = [_make_row(worker) for worker in self.workers]
        return make_json_answer(200, {"machines": rows, "next_token": None})


def _make_row(worker: Worker) -> dict[str, Any]:
    return {
        "machine": worker.machine,
        "pool": worker.service,
        "state": "up",
        "zone": worker.zone,
        "labels": worker.labels,
        "capacity": worker.capacity,
        "id": worker.id,
    }
