#!/usr/bin/env python3
"""The table of docs/measurements/acceptance.md, out of the journal: one row a run, with the score of each day.

    tests/measure/acceptance.py FROM [TO]     journal entries from this file name on, as 20261202T0907
"""

import json
import pathlib
import sys
from typing import NamedTuple

HEAD = "| run | site | days | seed | figure | gate | scores by day | rules broken, faults |"


class Row(NamedTuple):
    why: str
    site: str
    panel: str
    seed: str
    figure: str
    gate: str
    days: str
    broken: str


def panel_of(arguments):
    if "--panel" in arguments:
        return arguments[arguments.index("--panel") + 1]
    return "quick" if "--quick" in arguments else "full"


def breaks(day):
    rules = [name for name, count in (day.get("rules") or {}).items() if count]
    if day.get("fault"):
        rules.append("fault")
    return [f"{day['name']}: {', '.join(rules)}"] if rules else []


def site_of(run):
    name = run["site"] or "none: " + (run["error"] or "not played")
    return name + (", new machines" if "engines" in run["argv"][0] else "")


def row_of(run):
    arguments = run["argv"]
    days = run.get("days", [])
    return Row(
        run["why"],
        site_of(run),
        panel_of(arguments),
        arguments[arguments.index("--seed") + 1] if "--seed" in arguments else "-",
        f"{run['figures'].get('real_score', 0):.3f}",
        {1.0: "passed", 0.0: "failed"}.get(run["figures"].get("gate"), "-"),
        " ".join(f"{day['name'].replace('+brink', '').replace('+mass', '')} {day['score']:.2f}" for day in days),
        "; ".join(broken for day in days for broken in breaks(day)) or "none",
    )


def main():
    first, last = sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else "9"
    print(HEAD)
    print("| --- " * len(Row._fields) + "|")
    for entry in sorted(pathlib.Path("journal").glob("*.json")):
        if not first <= entry.name < last:
            continue
        run = json.loads(entry.read_text())
        if run.get("cmd") == "real-score":
            print("| " + " | ".join(cell.replace("\n", " ") for cell in row_of(run)) + " |")


if __name__ == "__main__":
    main()
