"""Make an operator call, print its reply, and wait until the change is in force."""

import asyncio
import secrets
import time
from typing import Any, Final

from google.protobuf import json_format
from tqdm import tqdm

from robinthread._internal.cli.exit_code import get_exit_code
from robinthread._internal.commands.client import Target, call, call_async
from robinthread._internal.operators import robinthread_pb2 as pb
from robinthread._internal.results import Fault, FaultError, ResultCode, make_fault

POLL_S: Final = 0.25
ENDED_STATES: Final = ("done", "cancelled")


def run_change(
    method: str,
    fields: dict[str, Any],
    target: Target,
    is_json: bool,
    wait_s: float = 0.0,
    follow_wave: str = "",
) -> int:
    """Make the call and return the exit code of its result code; raise ``FaultError`` on failure.

    An empty ``operation_id`` in ``fields`` is replaced by a random one.  If ``wait_s`` is set, wait
    that long for the daemons to apply the change; else show the progress of the wave named
    ``follow_wave``, if any, until it ends.
    """
    if "operation_id" in fields and not fields["operation_id"]:
        fields = {**fields, "operation_id": secrets.token_hex(8)}
    reply = call(target, method, fields)
    outcome = reply if isinstance(reply, pb.Outcome) else getattr(reply, "outcome", None)
    code = ResultCode(outcome.code) if outcome is not None and outcome.code else ResultCode.OK
    if not code.is_success:
        raise FaultError(Fault(code, _format_failure(outcome)))
    _print_reply(reply, is_json)
    if wait_s and outcome is not None:
        return _wait_in_force(target, outcome.version, wait_s)
    if follow_wave:
        return _follow_wave(target, follow_wave)
    return get_exit_code(code)


def to_json(message: Any) -> str:
    """Return a protobuf message as JSON with the field names of the schema."""
    return json_format.MessageToJson(
        message, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
    )


def _format_failure(outcome: Any) -> str:
    version = f" The current version is {outcome.version}." if outcome.version else ""
    return outcome.message + version


def _print_reply(reply: Any, is_json: bool) -> None:
    if is_json:
        print(to_json(reply))
    elif isinstance(reply, pb.Outcome):
        print(f"{reply.name.lower()}, version {reply.version}")
    elif isinstance(reply, pb.WavePlan):
        _print_plan(reply)
    elif isinstance(reply, pb.ConfigHistory):
        for entry in reply.versions:
            name = ResultCode(entry.code).name.lower() if entry.code else "not known any more"
            print(f"version {entry.version}: {name}, {len(entry.text)} characters")


def _print_plan(plan: Any) -> None:
    for step in plan.steps:
        print(f"{step.start_s:10.1f} s  {step.host}  back at {step.returned_s:.1f} s")
    print(f"roll-out    {plan.rollout_s:10.1f} s       bound {plan.rollout_bound_s:10.1f}")
    print(f"buffer cost {plan.buffer_slot_s:10.1f} slot s  bound {plan.buffer_bound_slot_s:10.1f}")
    print(f"moves       {plan.moves:10d}         bound {plan.moves_bound:10d}")
    if plan.advice:
        print(plan.advice)


def _wait_in_force(target: Target, version: int, wait_s: float) -> int:
    """Wait until every reachable daemon has applied the log record at offset ``version``."""
    ends_at_s = time.monotonic() + wait_s
    while True:
        status = call(target, "GetStatus", {})
        lagging = [d.name for d in status.daemons if d.is_heard and d.next_offset <= version]
        unreachable = [d.name for d in status.daemons if not d.is_heard]
        if not lagging:
            print(f"in force on {len(status.daemons) - len(unreachable)} daemons")
            _print_unreachable(unreachable, list(status.cut_halls))
            return 0
        if time.monotonic() > ends_at_s:
            error_text = f"Not in force after {wait_s:g} s on {', '.join(lagging)}"
            raise FaultError(make_fault(ResultCode.TIMED_OUT, error_text))
        time.sleep(POLL_S)


def _print_unreachable(unreachable: list[str], cut_halls: list[str]) -> None:
    if unreachable:
        print(f"not heard: {', '.join(unreachable)}")
    if cut_halls:
        print(f"halls cut off: {', '.join(cut_halls)}")


def _follow_wave(target: Target, name: str) -> int:
    """Show a progress bar of the wave until it is done or cancelled."""

    async def follow() -> None:
        with tqdm(unit="host", desc=name) as bar:
            while True:
                status = await call_async(target, "GetStatus", {})
                wave = next((wave for wave in status.waves if wave.name == name), None)
                if wave is not None:
                    bar.total = wave.hosts
                    bar.set_postfix_str(wave.waits_for[:60])
                    bar.update(wave.done - bar.n)
                    if wave.state in ENDED_STATES:
                        return
                await asyncio.sleep(POLL_S)

    asyncio.run(follow())
    return 0
