"""Shares of workspaces' limits, as nodes tell each other of them."""

import msgspec


class ShareTable(msgspec.Struct, frozen=True, array_like=True):
    """Shares of their limits that workspaces may take in one pool; the others have ``default``.

    They were dealt out by what limits were in ``config_version``.
    """

    config_version: int
    default: float
    shares: dict[str, float] = {}

    def get(self, workspace: str) -> float:
        """Return a workspace's share."""
        return self.shares.get(workspace, self.default)


class ShareOrder(msgspec.Struct, frozen=True, array_like=True):
    """Tell a pool's owner its shares; without a ``table`` those that it has stand.

    ``number`` rises with each order under the steward's ``token``.
    """

    token: int
    number: int
    table: ShareTable | None = None


class ShareState(msgspec.Struct, frozen=True, array_like=True):
    """The shares that a pool's owner goes by, and the newest order that it has heard."""

    token: int = 0
    number: int = 0
    table: ShareTable | None = None


class WorkspaceUsage(msgspec.Struct, frozen=True, array_like=True):
    """What a workspace takes in a pool, what its waiting tasks would, and one of them.

    That one, ``held_back``, is the most urgent that had to wait for a larger share.  Rooms are
    thousandths of a core, MB and accelerators.
    """

    name: str
    used: tuple[int, int, int]
    waiting: tuple[int, int, int] = (0, 0, 0)
    held_back: tuple[int, int, int] = (0, 0, 0)
