"""Plot roll-out time against buffer cost from the output of ``python -m bench wave_baselines``.

Usage: ``python tools/plot_tradeoff.py OUTPUT``; requires the extra "plot".
"""

import re
import sys
from pathlib import Path

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot

OUTPUT_PATH = Path(__file__).parent.parent / "docs" / "design" / "waves-tradeoff.svg"
LABEL_OF_PREFIX = {
    "sweep_": "Nogoon, allowed wait of 5 to 300 s",
    "weight_": "Wijesekera, buffer weight of 0 to 16",
}
MEASURES = ("rollout", "buffer", "moves")


def main(path: str) -> None:
    """Write the plot of the results in the file ``path`` to ``OUTPUT_PATH``."""
    text = Path(path).read_text(encoding="utf-8")
    counts = {
        name: float(value) for name, value in re.findall(r"^(\w[\w.]*)\s+([\d.]+)", text, re.M)
    }
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for prefix, label in LABEL_OF_PREFIX.items():
        keys = [
            name.removesuffix("_rollout_ratio")
            for name in counts
            if name.startswith(prefix) and name.endswith("_rollout_ratio")
        ]
        rollouts = [counts[f"{key}_rollout_ratio"] for key in keys]
        buffers = [counts[f"{key}_buffer_ratio"] for key in keys]
        axes.plot(rollouts, buffers, "o-", label=label)
        for key, x, y in zip(keys, rollouts, buffers, strict=True):
            label_text = f"{key.removeprefix(prefix)} ({counts[f'{key}_moves']:.0f} moves)"
            axes.annotate(label_text, (x, y), textcoords="offset points", xytext=(6, 4), fontsize=8)
    axes.set_xlabel("roll-out time / its lower bound")
    axes.set_ylabel("buffer cost / its lower bound")
    axes.legend()
    figure.tight_layout()
    figure.savefig(OUTPUT_PATH, metadata={"Date": None})


if __name__ == "__main__":
    main(sys.argv[1])
