"""Ablation of a policy: variants in which one mechanism is switched on or off."""

import dataclasses
from collections.abc import Iterator
from typing import Any, Final

from robinthread._internal.settings.policy_settings import PolicySettings

# Values that switch a mechanism off if its setting is a number.  For all others it is 0.
OFF_VALUES: Final = {"demand.late_share": 1.0}


def iter_ablations(policy: PolicySettings) -> Iterator[tuple[str, PolicySettings]]:
    """Iterate over the variants of ``policy``, each with its label ``key=value``.

    Each variant changes one setting: a boolean is inverted, a number is set to its off value.
    """
    for part in dataclasses.fields(policy):
        settings: Any = getattr(policy, part.name)
        for field in dataclasses.fields(settings):
            key, value = f"{part.name}.{field.name}", getattr(settings, field.name)
            switched = not value if isinstance(value, bool) else OFF_VALUES.get(key, 0.0)
            changed = dataclasses.replace(settings, **{field.name: switched})
            yield f"{key}={_format(switched)}", dataclasses.replace(policy, **{part.name: changed})


def _format(value: bool | float) -> str:
    return str(value).lower() if isinstance(value, bool) else f"{value:g}"
