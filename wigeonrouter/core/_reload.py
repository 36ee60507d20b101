"""Decides which settings a running process can take over."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReloadPlan:
    """What follows from a changed settings file.

    Attributes:
      settings: settings to use from now on.
      changed: names of the settings that change.
      restart_required: names of settings that differ but need a restart.
    """

    settings: object
    changed: tuple[str, ...]
    restart_required: tuple[str, ...]


def plan_reload(*, current, requested, reloadable):
    """Compare two settings and return a ReloadPlan.

    Args:
      current: data class of the settings in force.
      requested: data class of the same type.
      reloadable: names of the fields that need no restart.
    """
    differing = {
        field.name
        for field in dataclasses.fields(current)
        if getattr(current, field.name) != getattr(requested, field.name)
    }
    changed = differing & reloadable
    return ReloadPlan(
        settings=dataclasses.replace(
            current, **{name: getattr(requested, name) for name in changed}
        ),
        changed=tuple(sorted(changed)),
        restart_required=tuple(sorted(differing - changed)),
    )
