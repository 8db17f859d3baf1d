#!/usr/bin/env python3
"""The table of docs/measurements/acceptance.md, out of the journal: one row a day played.

    tests/measure/acceptance.py FROM [TO]     journal entries from this file name on, as 20261202T0907
"""

import json
import pathlib
import sys


def rows(entry):
    run = json.loads(entry.read_text())
    if run.get("cmd") != "real-score":
        return
    arguments = run["argv"]
    seed = arguments[arguments.index("--seed") + 1] if "--seed" in arguments else "-"
    panel = "brink" if "brink" in arguments else "quick" if "--quick" in arguments else "full"
    for day in run.get("days", []):
        rules = [name for name, count in (day.get("rules") or {}).items() if count]
        broken = ", ".join(rules) or day.get("fault") or "-"
        yield run["site"], panel, seed, day["name"], day.get("score"), broken, run["why"]


def main():
    first, last = sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else "9"
    print("| site | days | seed | day | score | rule broken or fault | run |\n| --- | --- | --- | --- | --- | --- | --- |")
    for entry in sorted(pathlib.Path("journal").glob("*.json")):
        if first <= entry.name < last:
            for row in rows(entry):
                print("| " + " | ".join(f"{cell:.2f}" if isinstance(cell, float) else str(cell) for cell in row) + " |")


if __name__ == "__main__":
    main()
