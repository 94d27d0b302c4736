"""Lays what the bench wants beside a site file here, from the kit beside the repository.

    python3 deploy/sites/lay.py [FOLDER]

Nothing of the kit is committed: git passes over the three files.
"""

from __future__ import annotations

import shutil
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
WANTED = ("real.json", "wire.json", "unlock.txt")
KIT = HERE.parents[2] / "given" / "kit" / "more" / "mass" / "other"


def lay(kit: Path, here: Path) -> str:
    """Why nothing was laid; "" once all three lie there."""
    missing = [name for name in WANTED if not (kit / name).is_file()]
    if missing:
        return f"missing in {kit}: {', '.join(missing)}"
    try:
        for name in WANTED:
            (here / name).unlink(missing_ok=True)  # an earlier copy may be read-only, as those of the kit are
            shutil.copyfile(kit / name, here / name)
    except OSError as error:
        return f"{error.filename}: {error.strerror}"
    return ""


def main(words: list[str]) -> int:
    if len(words) > 1:
        print("lay.py: one folder at most", file=sys.stderr)
        return 1
    if why := lay(Path(words[0]) if words else KIT, HERE):
        print(f"lay.py: {why}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
