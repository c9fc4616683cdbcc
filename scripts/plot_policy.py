#!/usr/bin/env python3
"""Draws the policy trials in docs/data/policy.txt as SVG bar charts; needs only Python 3."""
import collections
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
FIGURES = [
    ("urgent_p99_ms", "waiting time of urgent work, p99, ms"),
    ("batch_p99_ms", "waiting time of batch work, p99, ms"),
    ("gangs_started", "gang tasks started"),
    ("accelerator_use", "accelerators in use while work that needs them waits"),
    ("slot_use", "slots in use"),
    ("share_worst", "largest deviation of a team from its share"),
]


def read_rows(path):
    rows = []
    for line in path.read_text().splitlines():
        if line.startswith("trial="):
            rows.append(dict(word.split("=", 1) for word in line.split()))
    return rows


def draw(trial, rows):
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    width, bar, left = 760, 16, 190
    elements, y = [], 30
    for key, title in FIGURES:
        values = collections.defaultdict(list)
        for row in rows:
            values[row["policy"]].append(float(row[key]))
        means = {policy: sum(v) / len(v) for policy, v in values.items()}
        longest = max(means.values()) or 1
        elements.append(f'<text x="10" y="{y}" font-weight="bold">{title}</text>')
        y += 10
        for policy in policies:
            length = (width - left - 130) * means[policy] / longest
            colour = "#2a6f4e" if policy == "filbert" else "#9aa5a0"
            elements.append(f'<text x="10" y="{y + 12}">{policy}</text>')
            elements.append(f'<rect x="{left}" y="{y}" width="{length:.1f}" height="{bar - 4}" fill="{colour}"/>')
            elements.append(f'<text x="{left + length + 6:.1f}" y="{y + 11}">{means[policy]:.4g}</text>')
            y += bar
        y += 26
    body = "\n".join(elements)
    return (f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{y}" '
            f'font-family="sans-serif" font-size="12">\n<rect width="100%" height="100%" fill="white"/>\n'
            f'{body}\n</svg>\n')


def main():
    rows = read_rows(ROOT / "docs/data/policy.txt")
    for trial in dict.fromkeys(row["trial"] for row in rows):
        trial_rows = [row for row in rows if row["trial"] == trial]
        (ROOT / f"docs/policy-{trial}.svg").write_text(draw(trial, trial_rows))


if __name__ == "__main__":
    main()
