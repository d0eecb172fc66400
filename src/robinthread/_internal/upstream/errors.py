"""Errors of calls to workers."""


class UpstreamUnsentError(Exception):
    """The call was never sent: whatever it asked for did not happen."""


class UpstreamLostError(Exception):
    """The call was sent and no whole word came back."""
