"""Decides which settings a running process can take over."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reload:
    """What follows from a changed settings file.

    Attributes:
      settings: settings to use from now on.
      changed: names of the settings that change.
      kept: names of settings that differ but need a restart.
    """

    settings: object
    changed: tuple[str, ...]
    kept: tuple[str, ...]


def plan_reload(*, current, wanted, changeable):
    """Compare two settings and return a Reload.

    Args:
      current: data class of the settings in force.
      wanted: data class of the same type.
      changeable: names of the fields that need no restart.
    """
    differing = {
        field.name
        for field in dataclasses.fields(current)
        if getattr(current, field.name) != getattr(wanted, field.name)
    }
    changed = differing & changeable
    return Reload(
        settings=dataclasses.replace(
            current, **{name: getattr(wanted, name) for name in changed}
        ),
        changed=tuple(sorted(changed)),
        kept=tuple(sorted(differing - changed)),
    )
