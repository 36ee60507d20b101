"""Plots of the results of the policy simulation."""


def plot_cells(*, cells, field, label, path):
    """Write a plot with one line for each policy.

    Args:
      cells: dicts with load, policy and the fields of
        _policy_report.Figures.
      field: name of the field of Figures to plot.
      label: label of the vertical axis.
      path: image file to write.
    """
    # Imported here because only plots need matplotlib, and the VMs of
    # daemons do not have it installed.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for policy in sorted({cell["policy"] for cell in cells}):
        points = sorted(
            (cell["load"] * 100, cell[field])
            for cell in cells
            if cell["policy"] == policy
        )
        is_highlighted = policy in ("central", "free_slot")
        axes.plot(
            [x for x, _ in points],
            [y for _, y in points],
            marker="o",
            linewidth=2.5 if is_highlighted else 1,
            label=policy,
        )
    axes.set_xlabel("load, % of capacity")
    axes.set_ylabel(label)
    axes.grid(alpha=0.3)
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
