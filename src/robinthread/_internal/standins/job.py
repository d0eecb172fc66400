"""The jobs that the stand-in workers run."""

import msgspec

from robinthread._internal.upstream.reply import make_body_digest


class Job(msgspec.Struct, frozen=True):
    """A job of the stand-ins, sent as JSON in a request's body.

    ``run_s`` is the actual run time.  If ``can_run`` is false, the job fails on
    every worker.  Workers count starts after ``deadline_at_s``; 0 means no deadline.
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
    """Return the job in ``body``, or a job with a run time of 0 if ``body`` is not a job."""
    try:
        return msgspec.json.decode(body, type=Job)
    except msgspec.MsgspecError:
        return Job()


def make_answer(key: str, body: bytes) -> bytes:
    """Return a job's complete response body, which depends only on its key and its body."""
    text = f"{key} {make_body_digest(body)}\n".encode()
    return text + b"." * parse_job(body).answer_bytes
