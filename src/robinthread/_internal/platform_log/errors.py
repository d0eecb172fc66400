"""Errors of the platform's log."""


class LogUnavailableError(Exception):
    """The log refused the call, or could not be reached; it had no effect."""


class LogReplyLostError(Exception):
    """No reply came; whether the call had its effect is not known."""
