"""Decides which settings a running process can apply without a restart."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReloadPlan:
    """Result of comparing the current settings with a changed file.

    Attributes:
      settings: current settings with the reloadable changes applied.
      changed: names of the settings that change now.
      restart_required: names of the settings that differ in the file and
        keep their current value until a restart.
    """

    settings: object
    changed: tuple[str, ...]
    restart_required: tuple[str, ...]


def plan_reload(*, current, requested, reloadable):
    """Compare two settings and return a ReloadPlan.

    Args:
      current: data class instance with the settings in use.
      requested: instance of the same class, read from the changed file.
      reloadable: set of the names of the fields that need no restart.
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
