"""Copies the files that the bench requires beside a site file here, from the kit beside the repository.

    python3 deploy/sites/lay.py [FOLDER]

No file of the kit is committed: git ignores the three copies.
"""

from __future__ import annotations

import shutil
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
REQUIRED_FILES = ("real.json", "wire.json", "unlock.txt")
KIT = HERE.parents[2] / "given" / "kit" / "more" / "mass" / "other"


def lay(kit: Path, target: Path) -> str:
    """Copy the required files; return the reason for a failure, or "" on success."""
    missing = [name for name in REQUIRED_FILES if not (kit / name).is_file()]
    if missing:
        return f"missing in {kit}: {', '.join(missing)}"
    try:
        for name in REQUIRED_FILES:
            (target / name).unlink(missing_ok=True)  # an earlier copy may be read-only, like the kit's files
            shutil.copyfile(kit / name, target / name)
    except OSError as error:
        return f"{error.filename}: {error.strerror}"
    return ""


def main(arguments: list[str]) -> int:
    if len(arguments) > 1:
        print("lay.py: at most one folder can be given", file=sys.stderr)
        return 1
    if failure := lay(Path(arguments[0]) if arguments else KIT, HERE):
        print(f"lay.py: {failure}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
