"""The job that the stand-in workers run."""

import msgspec

from robinthread._internal.upstream.reply import make_body_digest


class Job(msgspec.Struct, frozen=True):
    """A job of the stand-ins, as JSON in a request's body.

    ``run_s`` is the true run time; ``can_run`` is false for a job that fails
    wherever it is started.  A start after ``deadline_at_s`` is counted.
    """

    run_s: float = 0.0
    can_run: bool = True
    answer_bytes: int = 0
    payload: str = ""
    deadline_at_s: float = 0.0


def encode_job(job: Job) -> bytes:
    """Encode a job as a request's body."""
    return msgspec.json.encode(job)


def parse_job(body: bytes) -> Job:
    """Return the job in ``body``, or one that runs at once where there is none."""
    try:
        return msgspec.json.decode(body, type=Job)
    except msgspec.MsgspecError:
        return Job()


def make_answer(key: str, body: bytes) -> bytes:
    """Return the whole answer of a job, told by its key and body alone."""
    text = f"{key} {make_body_digest(body)}\n".encode()
    return text + b"." * parse_job(body).answer_bytes
